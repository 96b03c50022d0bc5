#pragma once

#include <cstdint>

namespace radishladder::flows {

//! Request or answer that carries no records.
struct PullMessage
{
    enum class Kind : std::uint8_t {
        //! Send me the records that I am home of.
        Pull = 0,

        //! The batch was stored whole.
        Acknowledge = 1,

        //! All records that you are home of were sent and acknowledged.
        TakenOver = 2,
    };
    Kind kind = Kind::Pull;

    //! Batch that is acknowledged.
    std::uint64_t sequence = 0;
};
}
