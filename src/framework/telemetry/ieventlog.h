#pragma once

#include <cstdint>

namespace radishladder::telemetry {
class LogEntry;
enum class LogKind : std::uint8_t;

//! Structured log whose functions never block.
class IEventLog
{
public:
    virtual ~IEventLog() = default;

    //! Returns true if write() would keep a line of \a kind now; otherwise counts the line as
    //! dropped. Lets callers skip the construction of an entry that would be dropped.
    virtual bool accepts(LogKind kind) = 0;

    //! Writes \a entry with a timestamp, or counts it as dropped.
    virtual void write(const LogEntry &entry) = 0;
};
}
