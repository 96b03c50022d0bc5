#pragma once

#include <cstddef>
#include <string_view>

namespace radishladder::telemetry {

//! Destination of the structured log.
class ILogSink
{
public:
    virtual ~ILogSink() = default;

    //! Writes as much of \a text as possible without blocking; returns the number of bytes written.
    virtual std::size_t tryWrite(std::string_view text) = 0;
};
}
