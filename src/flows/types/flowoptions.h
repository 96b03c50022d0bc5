#pragma once

#include <chrono>
#include <cstddef>

namespace radishladder::flows {

//! Limits and times of the flow path.
struct FlowOptions
{
    //! Flows in the cache; memory is taken once, 16 bytes each.
    std::size_t cacheCapacity = 1U << 20;

    //! Records held for home and backup duty; new flows are refused beyond it.
    std::size_t recordCapacity = 500000;

    //! A cache entry unused for longer is not trusted, because its port may have been reused.
    std::chrono::milliseconds cacheTrust{30000};

    //! A record that is on its slot's table is replicated once its flow is this old.
    std::chrono::milliseconds replicateAfter{2000};

    //! Bytes of records sent per second, headers included.
    std::size_t replicationBytesPerSecond = 512;

    //! Time given to other VMs to learn that the home changed.
    std::chrono::milliseconds takeoverWindow{1000};

    //! A VM that started less long ago cannot have been home or backup before.
    std::chrono::milliseconds youngVm{60000};

    //! A longer gap between ticks means that the process was paused.
    std::chrono::milliseconds pauseBound{2000};

    //! Without confidence for longer, the VM counts as cut off and serves its own data centre.
    std::chrono::milliseconds cutOffAfter{5000};

    //! Longest time that a planned stop waits for the hand-over of records.
    std::chrono::milliseconds handOverBound{5000};
};
}
