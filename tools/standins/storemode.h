#pragma once

#include <cstdint>

namespace radishladder::standins {

//! How the store in memory treats calls.
enum class StoreMode : std::uint8_t {
    Serving,
    Slow, //!< answers take long
    Refusing, //!< each call is turned away at once
    Silent, //!< no call is answered before its time is up, a waiting watch never
};
}
