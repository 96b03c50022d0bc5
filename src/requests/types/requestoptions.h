#pragma once

#include <chrono>
#include <cstddef>

namespace radishladder::requests {

//! Limits of the request path of one VM.
struct RequestOptions
{
    //! Requests that wait for a slot.
    std::size_t queueLimit = 512;

    //! Time kept back from a deadline for the way of the answer and the period of tick().
    std::chrono::milliseconds hopAllowance{50};

    //! A key is remembered for this long after its request ended.
    std::chrono::milliseconds keySpan{30000};

    std::size_t keyLimit = 20000;

    //! Time for the second VM to confirm that it holds a key.
    std::chrono::milliseconds claimTimeout{200};
};
}
