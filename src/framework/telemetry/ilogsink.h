#pragma once

#include <cstddef>
#include <string_view>

namespace radishladder::telemetry {

//! Where the structured log goes.
class ILogSink
{
public:
    virtual ~ILogSink() = default;

    //! Writes as much of \a text as fits without waiting; returns the number of bytes taken.
    virtual std::size_t tryWrite(std::string_view text) = 0;
};
}
