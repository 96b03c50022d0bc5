#pragma once

#include <cstddef>
#include <new>
#include <sys/mman.h>

namespace radishladder::flows {

//! Memory for large tables, on huge pages where the kernel grants them.
template <typename T>
class HugePageAllocator
{
public:
    using value_type = T;

    HugePageAllocator() = default;
    template <typename U>
    HugePageAllocator(const HugePageAllocator<U> &)
    { }

    T *allocate(std::size_t count)
    {
        const std::size_t bytes = count * sizeof(T);
        void *memory = ::operator new(bytes, alignmentOf(count));
        if (bytes >= kHugePageBytes) {
            // Random look-ups in a table of many small pages miss the address translation cache.
            ::madvise(memory, bytes, MADV_HUGEPAGE);
        }
        return static_cast<T *>(memory);
    }

    void deallocate(T *memory, std::size_t count) { ::operator delete(memory, alignmentOf(count)); }

    bool operator==(const HugePageAllocator &) const = default;

private:
    static constexpr std::size_t kHugePageBytes = 2 * 1024 * 1024;
    static constexpr std::size_t kCacheLineBytes = 64;

    static std::align_val_t alignmentOf(std::size_t count)
    {
        return std::align_val_t(count * sizeof(T) >= kHugePageBytes ? kHugePageBytes
                                                                    : kCacheLineBytes);
    }
};
}
