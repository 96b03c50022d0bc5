#pragma once

#include <cstdint>

namespace radishladder::standins {

//! How the in-memory store handles requests.
enum class StoreMode : std::uint8_t {
    Serving,
    Slow, //!< responses are delayed
    Refusing, //!< requests are refused; waiting watches are closed with an error
    Silent, //!< requests time out without a response; waiting watches get no changes
};
}
