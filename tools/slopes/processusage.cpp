#include "slopes/processusage.h"

#include <ctime>
#include <malloc.h>

namespace radishladder::slopes {
std::uint64_t heapBytes()
{
    const auto usage = ::mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

std::chrono::nanoseconds threadTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}
}
