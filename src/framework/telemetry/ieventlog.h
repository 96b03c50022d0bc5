#pragma once

#include <cstdint>

namespace radishladder::telemetry {
class LogEntry;
enum class LogKind : std::uint8_t;

//! Takes the lines of the structured log; never blocks.
class IEventLog
{
public:
    virtual ~IEventLog() = default;

    //! True if a line of \a kind would be kept now; lets callers skip building one that would not.
    virtual bool accepts(LogKind kind) = 0;

    //! Writes \a entry with the time, or counts it as left out.
    virtual void write(const LogEntry &entry) = 0;
};
}
