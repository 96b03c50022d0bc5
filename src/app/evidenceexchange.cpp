#include "app/evidenceexchange.h"

#include "app/peersocket.h"
#include "evidence/evidencecodec.h"
#include "flows/flowtable.h"
#include "global/iclock.h"
#include "global/irandom.h"
#include "membership/imembership.h"
#include "telemetry/ieventlog.h"
#include "telemetry/igauge.h"
#include "telemetry/imetrics.h"
#include "telemetry/types/logentry.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>
#include <array>

namespace radishladder::app {
namespace {
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using telemetry::LogEntry;
using telemetry::LogKind;

//! Shortest pause after which queued datagrams are dropped: twice the interval of tick(). Their
//! ages don't include the time in the queue.
constexpr milliseconds kMinPause{500};

std::string_view eventOf(const evidence::SuspectChange &change)
{
    if (change.isSuspect) {
        return "upstream.suspected";
    }
    return change.hasResponded ? "upstream.responding" : "upstream.suspicion_expired";
}

milliseconds ageOf(std::chrono::steady_clock::time_point time,
                   std::chrono::steady_clock::time_point now)
{
    return time == std::chrono::steady_clock::time_point()
        ? milliseconds(-1)
        : duration_cast<milliseconds>(now - time);
}
}

EvidenceExchange::EvidenceExchange(const Parts &parts, const VmName &self)
    : parts(parts),
      evidence(self, static_cast<std::uint32_t>(parts.random.next()), parts.table, parts.random),
      timer(parts.loop, parts.clock, [this]() { this->sendDue(); }), stallDetector(kMinPause)
{
    this->evidence.setWakeHandler([this]() { this->timer.wakeAt(this->evidence.nextDue()); });
    this->parts.socket.addReceiver(evidence::kEvidenceMagic,
                                   [this](std::span<const std::uint8_t> datagram,
                                          const net::Endpoint &) { this->receive(datagram); });
}

bool EvidenceExchange::checkPause()
{
    this->stallDetector.recordRunning(this->parts.clock.timeSinceBoot());
    const bool isPaused = this->stallDetector.mayHaveBeenQueued();
    if (isPaused && !this->wasPaused) {
        this->evidence.recordPause(this->parts.clock.now());
    }
    this->wasPaused = isPaused;
    return isPaused;
}

void EvidenceExchange::receive(std::span<const std::uint8_t> datagram)
{
    const bool mayHaveBeenQueued = this->checkPause();
    // The ages in a datagram are those at its arrival. A stall that is too short for a pause would
    // otherwise make old silence look new.
    const auto queueTime = this->parts.socket.queueTime();
    if (mayHaveBeenQueued || queueTime >= kMinPause) {
        this->evidence.recordRejected(evidence::Rejection::Queued);
    } else {
        this->evidence.receive(
            datagram, this->parts.clock.now() - duration_cast<TimePoint::duration>(queueTime));
    }
}

void EvidenceExchange::sendDue()
{
    if (!this->parts.socket.isOpen() || this->checkPause()) {
        return;
    }
    std::array<std::uint8_t, evidence::kMaxEvidenceBytes> out;
    const TimePoint now = this->parts.clock.now();
    while (const std::size_t size = this->evidence.nextDatagram(out, now)) {
        this->parts.socket.sendToMembers(std::span(out).first(size));
    }
    this->parts.socket.flush();
    this->timer.wakeAt(this->evidence.nextDue());
}

void EvidenceExchange::tick()
{
    this->checkPause();
    const TimePoint now = this->parts.clock.now();
    this->evidence.setMembers(this->parts.membership.members());
    this->evidence.sweep(now, [this](upstreams::UpstreamId upstream) {
        const upstreams::UpstreamRecord *record = this->parts.registry.find(upstream);
        return record != nullptr && record->presence != upstreams::Presence::Gone;
    });
    this->logChanges(now);
    this->publishMetrics(now);
    this->timer.wakeAt(this->evidence.nextDue());
}

void EvidenceExchange::logChanges(TimePoint now)
{
    for (const evidence::SuspectChange &change : this->evidence.takeChanges()) {
        const evidence::SharedSilence &silence = change.silence;
        LogEntry entry(LogKind::State, eventOf(change));
        entry.text("upstream", upstreams::upstreamIdText(change.upstream))
            .text("by", silence.isSuspect ? "shared" : "own")
            .number("witnesses", silence.witnesses)
            .number("witness_flows", silence.silentFlows)
            .number("silent_flows", silence.ownSilentFlows)
            .duration("silence_ms", ageOf(silence.since, now))
            .duration("evidence_age_ms", ageOf(silence.newestReport, now))
            .duration("answer_age_ms",
                      ageOf(this->parts.table.lastResponseOf(change.upstream), now))
            .duration("shared_answer_age_ms", ageOf(change.sharedResponse, now));
        this->parts.log.write(entry);
    }
}

void EvidenceExchange::publishMetrics(TimePoint now)
{
    telemetry::IMetrics &metrics = this->parts.metrics;
    const evidence::EvidenceCounts &counts = this->evidence.counts();
    metrics.gauge("evidence_sent_records").set(static_cast<double>(counts.sentRecords));
    metrics.gauge("evidence_received_records").set(static_cast<double>(counts.receivedRecords));
    metrics.gauge("evidence_sent_bytes").set(static_cast<double>(counts.sentBytes));
    metrics.gauge("evidence_received_bytes").set(static_cast<double>(counts.receivedBytes));
    metrics.gauge("shared_suspects").set(static_cast<double>(this->evidence.suspects(now).size()));
    for (std::size_t i = 1; i < evidence::kRejectionCount; ++i) {
        if (counts.rejected[i] > 0) {
            const auto reason = evidence::rejectionName(static_cast<evidence::Rejection>(i));
            metrics.gauge("evidence_dropped", {{"reason", std::string(reason)}})
                .set(static_cast<double>(counts.rejected[i]));
        }
    }
}
}
