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

//! JSON lines with a budget a second for decisions on flows and a bounded buffer for a slow reader.
//! What is left out is counted, and the count is logged as soon as there is room.
class BoundedEventLog : public IEventLog
{
public:
    //! \a flowLinesPerSecond bounds lines of LogKind::Flow, and again those of LogKind::FlowEnd; \a
    //! bufferBytes bounds all kinds.
    BoundedEventLog(const IClock &clock, ILogSink &sink, int flowLinesPerSecond,
                    std::size_t bufferBytes);

    bool accepts(LogKind kind) override;
    void write(const LogEntry &entry) override;

    //! Hands buffered lines to the sink; call it a few times a second.
    void flush();

    //! The newest lines of LogKind::State, oldest first.
    const std::deque<std::string> &recentStates() const { return this->recent; }

    //! Lines left out since the start.
    std::uint64_t leftOut() const { return this->totalLeftOut; }

private:
    //! Lines of \a kind that may still be written this second; null for kinds without a bound.
    int *budgetOf(LogKind kind);
    void renewBudget();
    void append(const LogEntry &entry);

    const IClock &clock;
    ILogSink &sink;
    int flowLinesPerSecond;
    std::size_t bufferBytes;
    int flowBudget;
    int flowEndBudget;
    std::chrono::steady_clock::time_point budgetSince;
    std::string buffer;
    std::deque<std::string> recent;
    std::chrono::steady_clock::time_point reportedAt;
    std::uint64_t unreported = 0;
    std::uint64_t totalLeftOut = 0;
};
}
