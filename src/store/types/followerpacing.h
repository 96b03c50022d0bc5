#pragma once

#include <chrono>

namespace radishladder::store {

//! Delays between the store calls of a follower.
struct FollowerPacing
{
    //! Returns the longest watchWait with which a follower that got no response to a watch has all
    //! changes again within \a recovery after the store responds.
    static std::chrono::milliseconds watchWaitFor(std::chrono::milliseconds recovery);

    //! Longest time that one watch waits for a change.
    std::chrono::milliseconds watchWait{20000};

    //! Delay after a response before the next watch, so that several changes in quick succession
    //! arrive with one call.
    std::chrono::milliseconds batchDelay{300};

    //! The same delay after a response of a relay, which has batched the changes already.
    std::chrono::milliseconds relayedBatchDelay{200};

    //! Delay after the first failed call; doubles with each further failure, up to maxRetryDelay.
    std::chrono::milliseconds firstRetryDelay{100};
    std::chrono::milliseconds maxRetryDelay{800};
};
}
