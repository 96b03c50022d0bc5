#include "store/types/followerpacing.h"

#include "store/istore.h"

#include <algorithm>

namespace radishladder::store {
namespace {
//! Time from the failure of a watch until its repetition, on a new connection, has been responded
//! to and relayed.
constexpr std::chrono::milliseconds kRepetitionTime{500};

constexpr std::chrono::milliseconds kShortestWait{100};
}

std::chrono::milliseconds FollowerPacing::watchWaitFor(std::chrono::milliseconds recovery)
{
    // A watch that is sent at the end of an outage, or whose response is lost then, fails only by
    // its own timeout: no other call has to notice an outage of a moment.
    return std::max(recovery - IStore::kMaxWatchOverrun - kRepetitionTime, kShortestWait);
}
}
