#pragma once

#include <cstdint>

namespace radishladder::standins {

//! How the in-memory store handles requests.
enum class StoreMode : std::uint8_t {
    Serving,
    Slow, //!< responses are delayed
    Refusing, //!< each request is refused at once
    Silent, //!< requests time out without a response; waiting watches get no changes
};
}
