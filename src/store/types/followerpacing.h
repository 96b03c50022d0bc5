#pragma once

#include <chrono>

namespace radishladder::store {

//! How often a follower calls the store.
struct FollowerPacing
{
    //! Longest time that one watch waits for a change.
    std::chrono::milliseconds watchWait{20000};

    //! Pause after an answer, so that changes in quick succession arrive with one call.
    std::chrono::milliseconds gather{300};

    //! The same after an answer that a neighbour passed on, which has gathered changes already.
    std::chrono::milliseconds relayedGather{200};

    //! Pause after the first failed call; doubles up to longestRetry.
    std::chrono::milliseconds firstRetry{100};
    std::chrono::milliseconds longestRetry{800};
};
}
