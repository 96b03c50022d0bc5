#include "app/packetpath.h"

#include "app/packetcounters.h"
#include "flows/flowdirector.h"
#include "flows/ipacketcodec.h"
#include "flows/types/decisioninputs.h"
#include "flows/types/flowpacket.h"
#include "global/iclock.h"
#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <array>
#include <cmath>

namespace radishladder::app {
namespace {
constexpr std::size_t kMaxDatagramBytes = 2048;

//! Interval at which buffered packets are processed again while this VM starts.
constexpr std::chrono::milliseconds kBufferCheckInterval{5};

telemetry::LogKind kindOf(const flows::FlowDecision &decision)
{
    return decision.action == flows::FlowAction::Reset ? telemetry::LogKind::FlowEnd
                                                       : telemetry::LogKind::Flow;
}

std::string_view eventOf(const flows::FlowDecision &decision)
{
    switch (decision.action) {
    case flows::FlowAction::Reset:
        return "flow.reset";
    case flows::FlowAction::Drop:
        return "flow.dropped";
    case flows::FlowAction::Forward:
        break;
    }
    return decision.isPlacedAgain ? "flow.placed_again" : "flow.placed";
}

void appendAdmission(const placement::AdmissionDecision &admission, telemetry::LogEntry &entry)
{
    entry.text("cause", placement::admissionResultName(admission.result))
        .number("rank", admission.rank)
        .number("pressure_percent", std::lround(admission.pressure * 100))
        .number("refused_percent", std::lround(admission.refusedShare * 100))
        .duration("response_time_ms", admission.responseTime)
        .number("requests_per_100_slots", std::lround(admission.requestsPerSlot * 100))
        .duration("load_age_ms", admission.loadAge);
}

void appendSpill(const placement::SpillDecision &spill, telemetry::LogEntry &entry)
{
    entry.text("spilled_to", spill.dataCentre.str())
        .number("share_percent", std::lround(spill.share * 100))
        .number("pressure_percent", std::lround(spill.ownPressure * 100))
        .duration("load_age_ms", spill.ownAge)
        .number("remote_pressure_percent", spill.pressure ? std::lround(*spill.pressure * 100) : -1)
        .duration("remote_load_age_ms", spill.pressure ? spill.age : std::chrono::milliseconds(-1));
}
}

PacketPath::PacketPath(net::IEventLoop &loop, const IClock &clock, const flows::IPacketCodec &codec,
                       flows::FlowDirector &director, telemetry::IEventLog &log,
                       telemetry::IMetrics &metrics, const net::Endpoint &local)
    : loop(loop), clock(clock), codec(codec), director(director), log(log), local(local),
      counters(std::make_unique<PacketCounters>(metrics))
{ }

PacketPath::~PacketPath()
{
    this->stop();
}

bool PacketPath::start()
{
    this->socket = net::BatchSocket::open(this->local, this->reason);
    if (!this->socket) {
        return false;
    }
    this->loop.watchReadable(this->socket->descriptor(), [this]() { this->receive(); });
    return true;
}

void PacketPath::stop()
{
    if (this->socket) {
        this->loop.unwatch(this->socket->descriptor());
        this->socket.reset();
    }
}

void PacketPath::recordRunning()
{
    this->stallDetector.recordRunning(this->clock.timeSinceBoot());
}

void PacketPath::receive()
{
    this->recordRunning();
    this->batchTime = this->clock.now();
    this->lastPacketAt = this->batchTime;
    this->socket->receive([this](std::span<std::uint8_t> datagram, const net::Endpoint &) {
        this->handle(datagram);
    });
}

void PacketPath::bufferPacket(std::span<const std::uint8_t> datagram)
{
    if (!this->packetBuffer.add(datagram, this->batchTime)) {
        this->counters->count(
            {.action = flows::FlowAction::Drop, .reason = ResultCode::FlowNotReady});
    }
    if (!this->isProcessingScheduled) {
        this->isProcessingScheduled = true;
        this->loop.after(kBufferCheckInterval, [this]() { this->processBufferedPackets(); });
    }
}

void PacketPath::processBufferedPackets()
{
    this->isProcessingScheduled = false;
    this->batchTime = this->clock.now();
    if (!this->socket) {
        return;
    }
    for (const auto &datagram : this->packetBuffer.takeUnexpired(this->batchTime)) {
        this->handle(datagram);
    }
    this->socket->flush();
}

void PacketPath::handle(std::span<const std::uint8_t> datagram)
{
    if (!this->director.isReady()) {
        this->bufferPacket(datagram);
        return;
    }
    auto packet = this->codec.decode(datagram);
    if (!packet) {
        this->counters->countMalformed();
        return;
    }
    packet->mayHaveBeenQueued = this->stallDetector.mayHaveBeenQueued();
    const flows::FlowDecision decision = this->director.decide(*packet, this->batchTime);
    if (decision.action == flows::FlowAction::Forward && !this->forward(datagram, decision)) {
        this->counters->countMalformed();
        return;
    }
    this->counters->count(decision);
    const bool needsConfirmation = decision.needsConfirmation || decision.needsRouteConfirmation;
    if (needsConfirmation && this->confirmationHandler) {
        this->confirmationHandler(decision);
    }
    if (decision.action == flows::FlowAction::Reset) {
        this->reset(*packet);
    }
    const bool isRoutine = decision.action == flows::FlowAction::Forward && !decision.isPlaced;
    if (!isRoutine && this->log.accepts(kindOf(decision))) {
        this->logDecision(*packet, decision);
    }
}

bool PacketPath::forward(std::span<const std::uint8_t> datagram,
                         const flows::FlowDecision &decision)
{
    std::array<std::uint8_t, kMaxDatagramBytes> out;
    const std::size_t size =
        this->codec.encodeForward(datagram, decision.upstream, decision.token, out);
    if (size == 0) {
        return false;
    }
    this->counters->countBytes(size);
    this->socket->send(std::span(out).first(size), decision.address);
    return true;
}

void PacketPath::reset(const flows::FlowPacket &packet)
{
    std::array<std::uint8_t, kMaxDatagramBytes> out;
    const std::size_t size = this->codec.encodeReset(packet, out);
    this->socket->send(std::span(out).first(size), {packet.flow.client.address, this->local.port});
}

void PacketPath::logDecision(const flows::FlowPacket &packet, const flows::FlowDecision &decision)
{
    telemetry::LogEntry entry(kindOf(decision), eventOf(decision));
    entry.text("caller", net::endpointText(packet.flow.client))
        .text("service", net::endpointText(packet.flow.service))
        .number("copy", packet.isSyn ? packet.acknowledged : 0)
        .number("token", packet.token);
    if (decision.action == flows::FlowAction::Forward) {
        entry.text("upstream", upstreams::upstreamIdText(decision.upstream))
            .text("address", net::endpointText(decision.address))
            .number("ring", decision.ring);
    } else {
        entry.number("code", static_cast<int>(decision.reason))
            .text("reason", resultCodeName(decision.reason));
    }
    if (decision.admission) {
        entry.text("upstream", upstreams::upstreamIdText(decision.upstream));
        appendAdmission(*decision.admission, entry);
    }
    if (decision.spill) {
        appendSpill(*decision.spill, entry);
    }
    const flows::DecisionInputs decisionInputs =
        this->director.decisionInputs(decision.upstream, this->batchTime);
    entry.number("configuration", static_cast<std::int64_t>(decisionInputs.configurationVersion))
        .duration("entry_age_ms", decisionInputs.entryAge)
        .duration("listing_age_ms", decisionInputs.listingAge)
        .duration("answer_age_ms", decisionInputs.responseAge)
        .number("open_flows", decisionInputs.openFlows)
        .number("busy_flows", decisionInputs.busyFlows)
        .number("silent_flows", decisionInputs.silentFlows);
    if (decisionInputs.witnesses > 0) {
        entry.number("witnesses", decisionInputs.witnesses)
            .duration("shared_silence_ms", decisionInputs.sharedSilence)
            .duration("evidence_age_ms", decisionInputs.evidenceAge);
    }
    this->log.write(entry);
}
}
