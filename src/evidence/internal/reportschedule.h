#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace radishladder {
class IRandom;
}

namespace radishladder::evidence {
class UpstreamEvidence;

//! When this VM reports the silence or a response of one upstream.
//!
//! Load pattern: many VMs observe the same upstream. Random delays let one of them be the first,
//! whose report makes those of the others unnecessary.
class ReportSchedule
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Records that a further flow of this VM became silent, which is reported at once.
    void recordNewFlow() { this->hasUnreportedFlow = true; }

    //! Schedules the next report of \a evidence; \a silentUpstreams is the number of upstreams with
    //! any silence.
    void scheduleReport(const UpstreamEvidence &evidence, std::size_t silentUpstreams,
                        IRandom &random, TimePoint now);

    //! Schedules a report of a response that refutes silence that began at \a refuted.
    void scheduleRefutation(TimePoint refuted, IRandom &random, TimePoint now);

    void cancelReport();

    //! Records a report of another VM.
    void recordReport(const UpstreamEvidence &evidence, std::size_t silentUpstreams,
                      IRandom &random, TimePoint now);

    //! Records that another VM reported a response.
    void recordRefutation(TimePoint response);

    //! Returns true if a report is due. \a isSending is true if a datagram is sent in any case, so
    //! that a repeated report may be sent early.
    bool isReportDue(bool isSending, TimePoint now) const;
    bool isRefutationDue(TimePoint now) const;

    void recordOwnReport(const UpstreamEvidence &evidence, std::size_t silentUpstreams,
                         IRandom &random, TimePoint now);
    void recordOwnRefutation() { this->refutationDue.reset(); }

    //! Delays a report that may not be sent yet, since this VM \a canReport but the traffic is
    //! over its budget, or since it cannot.
    void postponeReport(bool canReport, IRandom &random, TimePoint now);
    void postponeRefutation(IRandom &random, TimePoint now);

    //! Returns when something is due; std::nullopt if nothing is scheduled.
    std::optional<TimePoint> due() const;

private:
    //! Returns true if a further silent flow doesn't have to be reported at once.
    bool isReported(const UpstreamEvidence &evidence, TimePoint now) const;
    TimePoint nextRepeat(const UpstreamEvidence &evidence, std::size_t silentUpstreams,
                         IRandom &random, TimePoint now) const;

    //! Last reports of this VM and of any VM.
    TimePoint lastOwnReport;
    TimePoint lastReport;
    int reportedFlows = 0;
    bool hasUnreportedFlow = false;
    std::optional<TimePoint> reportDue;
    std::optional<TimePoint> refutationDue;

    //! Start of the latest silence that the scheduled refutation refutes.
    TimePoint refuted;
};
}
