#pragma once

#include "flows/internal/flowtime.h"
#include "flows/internal/hugepageallocator.h"
#include "flows/types/packetinfo.h"
#include "placement/types/upstreamindex.h"

#include <array>
#include <optional>
#include <vector>

namespace radishladder::flows {

//! Flows that this VM forwarded, in sets of one processor cache line; the least recently used of a
//! set makes room.
class FlowCache
{
public:
    explicit FlowCache(std::size_t capacity);

    //! Upstream of the flow if it was used at most \a trust ago.
    std::optional<placement::UpstreamIndex> find(std::uint64_t hash, FlowTime now,
                                                 std::chrono::milliseconds trust);

    //! True if \a upstream was given this flow and only first packets were seen since.
    bool isOpening(std::uint64_t hash, placement::UpstreamIndex upstream, FlowTime now);

    //! Notes that \a packet of the flow went to \a upstream.
    void touch(std::uint64_t hash, placement::UpstreamIndex upstream, const PacketInfo &packet,
               FlowTime now);

    //! The same, done when its part of the cache has been loaded from memory.
    void touchSoon(std::uint64_t hash, placement::UpstreamIndex upstream, const PacketInfo &packet,
                   FlowTime now);

    //! Marks the flow as admitted by this VM, so that its end is reported by takeEnded().
    void markAdmitted(std::uint64_t hash);

    void erase(std::uint64_t hash);

    //! Replaces the upstream of a flow that is in the cache.
    void correct(std::uint64_t hash, placement::UpstreamIndex upstream);

    //! Removes entries unused for longer than \a limit from the next part of the cache.
    void sweep(FlowTime now, std::chrono::milliseconds limit);

    //! Upstreams of admitted flows that ended since the last call.
    std::vector<placement::UpstreamIndex> takeEnded();

    std::size_t size() const { return this->used; }
    std::size_t memoryBytes() const { return this->sets.size() * sizeof(Set); }

private:
    struct Entry
    {
        std::uint64_t hash = 0;
        placement::UpstreamIndex upstream = placement::kNoUpstream;
        FlowTime stamp = 0;
    };
    static constexpr std::size_t kWays = 4;
    struct alignas(64) Set
    {
        std::array<Entry, kWays> entries;
    };

    struct Touch
    {
        std::uint64_t hash = 0;
        placement::UpstreamIndex upstream = placement::kNoUpstream;
        FlowTime now = 0;
        bool opens = false;
        bool ends = false;
    };
    static constexpr std::size_t kWaiting = 8;

    void apply(const Touch &touch);
    void applyWaiting();
    Set &setOf(std::uint64_t hash);
    const Entry *entryOf(std::uint64_t hash) const;
    Entry *entryOf(std::uint64_t hash);
    Entry &victimOf(std::uint64_t hash, FlowTime now);
    void clear(Entry &entry);
    void release(Entry &entry);

    std::vector<Set, HugePageAllocator<Set>> sets;
    std::vector<placement::UpstreamIndex> ended;
    std::array<Touch, kWaiting> waiting;
    std::size_t waitingCount = 0;
    std::size_t oldestWaiting = 0;
    std::size_t used = 0;
    std::size_t cursor = 0;
};
}
