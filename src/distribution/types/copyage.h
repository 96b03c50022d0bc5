#pragma once

#include <cstdint>

namespace radishladder::distribution {

//! How old what a neighbour hands over may be.
enum class CopyAge : std::uint8_t {
    New, //!< the neighbour follows the store itself and has heard it just now
    Polled, //!< as old as what is listed now and then
    Any, //!< the last that the neighbour has heard, while the store does not answer
};
}
