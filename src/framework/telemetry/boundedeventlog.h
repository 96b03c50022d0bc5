#pragma once

#include "telemetry/ieventlog.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace radishladder {
class IClock;
}

namespace radishladder::telemetry {
class ILogSink;

//! Writes the log as JSON lines, with a limit of flow lines per second and a bounded buffer in case
//! the reader of the sink is slow. Lines beyond these limits are dropped and counted; the count is
//! logged at most once a second, when the buffer has room.
class BoundedEventLog : public IEventLog
{
public:
    //! \a flowLinesPerSecond is the limit for lines of LogKind::Flow and, separately, for lines of
    //! LogKind::FlowEnd. \a bufferBytes is the size of the buffer at which lines of all kinds are
    //! dropped.
    BoundedEventLog(const IClock &clock, ILogSink &sink, int flowLinesPerSecond,
                    std::size_t bufferBytes);

    bool accepts(LogKind kind) override;
    void write(const LogEntry &entry) override;

    //! Writes buffered lines to the sink; must be called a few times a second.
    void flush();

    //! Returns the newest lines of LogKind::State, oldest first.
    const std::deque<std::string> &recentStateLines() const { return this->recentLines; }

    //! Returns the number of lines dropped since the start.
    std::uint64_t droppedLines() const { return this->totalDropped; }

private:
    //! Returns the number of lines of \a kind that may still be written in the current second;
    //! nullptr for a kind without this limit.
    int *budgetOf(LogKind kind);
    void refillBudgets();
    void append(const LogEntry &entry);

    const IClock &clock;
    ILogSink &sink;
    int flowLinesPerSecond;
    std::size_t bufferBytes;
    int flowBudget;
    int flowEndBudget;
    std::chrono::steady_clock::time_point budgetPeriodStart;
    std::string buffer;
    std::deque<std::string> recentLines;
    std::chrono::steady_clock::time_point dropsReportedAt;
    std::uint64_t unreportedDrops = 0;
    std::uint64_t totalDropped = 0;
};
}
