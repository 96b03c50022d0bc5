#include "evidence/internal/reportschedule.h"

#include "evidence/internal/upstreamevidence.h"
#include "global/irandom.h"

#include <algorithm>

namespace radishladder::evidence {
namespace {
using std::chrono::milliseconds;

//! Longest delay of a report or refutation, in which another VM may send the same. Together with
//! kCoalescing at most 20 ms.
constexpr milliseconds kMaxSendDelay{15};

//! Reports that are due within this time share a datagram.
constexpr milliseconds kCoalescing{5};

//! As kCoalescing, for repeated reports: a datagram of its own costs more than twice the bytes of a
//! record.
constexpr milliseconds kRepeatCoalescing{150};

//! No first report is sent if this many other VMs have reported the upstream lately.
constexpr int kEnoughReports = 3;

//! Reported silent flows that make an upstream a suspect on all VMs.
constexpr int kEnoughFlows = 2;
constexpr milliseconds kReportWindow{1000};

//! Interval of reports while an upstream stays silent. It grows with the number of silent
//! upstreams, so that the traffic stays within its budget, but stays below half of the 2 s after
//! which a report no longer ends placements, since datagrams may be lost.
constexpr milliseconds kMinRepeatInterval{250};
constexpr milliseconds kMaxRepeatInterval{800};
constexpr milliseconds kMaxRepeatDelay{930};
constexpr int kUpstreamsAtMinInterval = 8;

//! Interval of reports after a refutation: perhaps only this VM cannot reach the upstream.
constexpr milliseconds kRefutedInterval{1000};

//! Delay until a VM without prompt responses tries again. Short, since a small VM may just have had
//! no request since the silence began.
constexpr milliseconds kResponseRetryDelay{50};
constexpr milliseconds kBudgetRetryDelay{250};

milliseconds randomDelay(milliseconds limit, IRandom &random)
{
    return milliseconds(random.next() % static_cast<std::uint64_t>(limit.count() + 1));
}
}

void ReportSchedule::scheduleReport(const UpstreamEvidence &evidence, std::size_t silentUpstreams,
                                    IRandom &random, TimePoint now)
{
    const bool isFirst =
        this->hasUnreportedFlow && !this->isReported(evidence, now) && !evidence.wasOwnRefuted(now);
    const TimePoint time = isFirst
        ? now + randomDelay(kMaxSendDelay, random)
        : std::max(now, this->nextRepeat(evidence, silentUpstreams, random, now));
    this->reportDue = std::min(this->reportDue.value_or(time), time);
}

bool ReportSchedule::isReported(const UpstreamEvidence &evidence, TimePoint now) const
{
    if (evidence.reportsSince(now - kReportWindow) >= kEnoughReports) {
        return true;
    }
    // The other VMs have held the upstream for a suspect for long enough to have received a report
    // even if some were lost.
    const SharedSilence silence = evidence.combine(now);
    const bool isOwnReportRecent = now - this->lastOwnReport <= kReportWindow;
    const int ownFlows = isOwnReportRecent ? this->reportedFlows : 0;
    return now - silence.since >= kReportWindow && now - this->lastReport <= kReportWindow
        && silence.silentFlows + ownFlows >= kEnoughFlows;
}

ReportSchedule::TimePoint ReportSchedule::nextRepeat(const UpstreamEvidence &evidence,
                                                     std::size_t silentUpstreams, IRandom &random,
                                                     TimePoint now) const
{
    if (evidence.wasOwnRefuted(now)) {
        return this->lastOwnReport + kRefutedInterval;
    }
    const milliseconds interval =
        std::clamp(kMinRepeatInterval * static_cast<int>(silentUpstreams) / kUpstreamsAtMinInterval,
                   kMinRepeatInterval, kMaxRepeatInterval);
    if (evidence.reportsSince(now - kReportWindow) == 0) {
        return this->lastOwnReport + interval;
    }
    const int reporters =
        std::clamp(kUpstreamsAtMinInterval / std::max(static_cast<int>(silentUpstreams), 1), 1,
                   kEnoughReports);
    if (reporters > 1 && evidence.reportsSince(now - interval) < reporters) {
        return std::max(now, this->lastOwnReport + interval) + randomDelay(interval / 4, random);
    }
    // Each report of any VM delays the next one. VMs that have seen no retransmission since their
    // last report wait longer: a reset needs new retransmissions on two VMs.
    const bool hasNews = evidence.lastOwnRetransmission() > this->lastOwnReport;
    const milliseconds turn = hasNews ? milliseconds(0) : interval / 2;
    const milliseconds delay = interval + turn + randomDelay(interval / 4, random);
    return this->lastReport + std::min(delay, kMaxRepeatDelay);
}

void ReportSchedule::scheduleRefutation(TimePoint refutedSilence, IRandom &random, TimePoint now)
{
    this->refuted = std::max(this->refuted, refutedSilence);
    if (!this->refutationDue) {
        this->refutationDue = now + randomDelay(kMaxSendDelay, random);
    }
}

void ReportSchedule::cancelReport()
{
    this->reportDue.reset();
    this->hasUnreportedFlow = false;
}

void ReportSchedule::recordReport(const UpstreamEvidence &evidence, std::size_t silentUpstreams,
                                  IRandom &random, TimePoint now)
{
    this->lastReport = now;
    if (this->reportDue) {
        this->reportDue.reset();
        this->scheduleReport(evidence, silentUpstreams, random, now);
    }
}

void ReportSchedule::recordRefutation(TimePoint response)
{
    if (response >= this->refuted) {
        this->refutationDue.reset();
    }
}

bool ReportSchedule::isReportDue(bool isSending, TimePoint now) const
{
    const bool canBeEarly = isSending && !this->hasUnreportedFlow;
    return this->reportDue
        && *this->reportDue <= now + (canBeEarly ? kRepeatCoalescing : kCoalescing);
}

bool ReportSchedule::isRefutationDue(TimePoint now) const
{
    return this->refutationDue && *this->refutationDue <= now + kCoalescing;
}

void ReportSchedule::recordOwnReport(const UpstreamEvidence &evidence, std::size_t silentUpstreams,
                                     IRandom &random, TimePoint now)
{
    this->hasUnreportedFlow = false;
    this->lastOwnReport = now;
    this->lastReport = now;
    this->reportedFlows = evidence.combine(now).ownSilentFlows;
    this->reportDue = this->nextRepeat(evidence, silentUpstreams, random, now);
}

void ReportSchedule::postponeReport(bool canReport, IRandom &random, TimePoint now)
{
    this->reportDue = canReport
        ? now + kBudgetRetryDelay / 2 + randomDelay(kBudgetRetryDelay, random)
        : now + kResponseRetryDelay;
}

void ReportSchedule::postponeRefutation(IRandom &random, TimePoint now)
{
    this->refutationDue = now + kCoalescing * 2 + randomDelay(kBudgetRetryDelay, random);
}

std::optional<ReportSchedule::TimePoint> ReportSchedule::due() const
{
    if (!this->reportDue || !this->refutationDue) {
        return this->reportDue ? this->reportDue : this->refutationDue;
    }
    return std::min(*this->reportDue, *this->refutationDue);
}
}
