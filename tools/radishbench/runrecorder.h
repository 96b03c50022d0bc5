#pragma once

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace radishladder::radishbench {

//! Service and broken flows over time, and the events of a run.
class RunRecorder
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Totals since the start of the run.
    struct Totals
    {
        std::uint64_t answeredRequests = 0;
        std::uint64_t sentRequests = 0;
        std::uint64_t answeredPackets = 0;
        std::uint64_t lostFlows = 0;
    };

    //! Times are counted from \a start on.
    void begin(TimePoint start) { this->start = start; }

    //! Closes one bin.
    void sample(const Totals &totals);

    //! Notes \a event, for example a fault, about \a subject.
    void note(TimePoint at, const std::string &event, const std::string &subject);

    //! Bins as {bin_ms, answered_requests: [], ...} with the events.
    Json::Value seriesJson() const;

    //! One event a line, as JSON; false if \a file cannot be written.
    bool writeTrace(const std::string &file) const;

    //! Length of a bin.
    static constexpr std::chrono::milliseconds kBin{250};

private:
    struct Event
    {
        std::chrono::milliseconds at{0};
        std::string event;
        std::string subject;
    };

    static Json::Value eventJson(const Event &event);

    TimePoint start;
    Totals last;
    std::vector<Totals> bins;
    std::vector<Event> events;
};
}
