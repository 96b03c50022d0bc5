#include "app/sharedflowexchange.h"

#include "app/peersocket.h"
#include "flows/flowtable.h"
#include "flows/sharedflowcodec.h"
#include "global/iclock.h"
#include "telemetry/igauge.h"
#include "telemetry/imetrics.h"

#include <array>

namespace radishladder::app {
namespace {
//! Bounds the memory: flows that two upstreams accepted and flows that open during a planned stop.
constexpr std::size_t kMaxFlows = 4096;

constexpr int kRequests = 4;

//! Bounds the datagrams per announcement and request.
constexpr std::size_t kMaxNeighbours = 64;

//! A VM of another data centre that has sent nothing for this long has no clients of this one.
constexpr std::chrono::seconds kNeighbourRetention{60};
}

SharedFlowExchange::SharedFlowExchange(const Parts &parts)
    : parts(parts), flows(kMaxFlows), timer(parts.loop, parts.clock, [this]() { this->sendDue(); }),
      requestsLeft(kRequests)
{
    this->flows.setWakeHandler([this]() { this->timer.wakeAt(this->flows.nextDue()); });
    this->parts.socket.addReceiver(
        flows::kSharedFlowMagic,
        [this](std::span<const std::uint8_t> datagram, const net::Endpoint &sender) {
            this->receive(datagram, sender);
        });
}

void SharedFlowExchange::receive(std::span<const std::uint8_t> datagram,
                                 const net::Endpoint &sender)
{
    const bool isValid = this->flows.receive(datagram, this->parts.clock.now(),
                                             [this, &sender](std::span<const std::uint8_t> answer) {
                                                 this->parts.socket.send(answer, sender);
                                             });
    this->parts.socket.flush();
    const bool isKnown = this->neighbours.contains(sender);
    const bool isFull = this->neighbours.size() >= kMaxNeighbours;
    if (isValid && (isKnown || !isFull) && !this->parts.socket.isSelfOrMember(sender)) {
        this->neighbours[sender] = this->parts.clock.now();
    }
}

void SharedFlowExchange::addNeighbours(const std::vector<net::Endpoint> &relays)
{
    for (const net::Endpoint &relay : relays) {
        const net::Endpoint vm = this->parts.socket.peerAt(relay.address);
        const bool isFull = this->neighbours.size() >= kMaxNeighbours;
        if (!isFull && !this->parts.socket.isSelfOrMember(vm)) {
            this->neighbours.try_emplace(vm, this->parts.clock.now());
        }
    }
}

void SharedFlowExchange::requestFlows()
{
    this->requestsLeft = kRequests;
    this->sendRequest();
}

void SharedFlowExchange::sendRequest()
{
    if (this->requestsLeft == 0) {
        return;
    }
    --this->requestsLeft;
    std::array<std::uint8_t, flows::kMaxSharedFlowBytes> out;
    const std::size_t size = flows::SharedFlows::request(out, this->parts.clock.now());
    this->sendToAll(std::span(out).first(size));
    this->parts.socket.flush();
}

void SharedFlowExchange::sendToAll(std::span<const std::uint8_t> datagram)
{
    this->parts.socket.sendToMembers(datagram);
    for (const auto &[vm, seenAt] : this->neighbours) {
        this->parts.socket.send(datagram, vm);
    }
}

void SharedFlowExchange::sendDue()
{
    std::array<std::uint8_t, flows::kMaxSharedFlowBytes> out;
    while (const std::size_t size = this->flows.nextDatagram(out, this->parts.clock.now())) {
        this->sendToAll(std::span(out).first(size));
    }
    this->parts.socket.flush();
    this->timer.wakeAt(this->flows.nextDue());
}

bool SharedFlowExchange::isOpenHere(const flows::FlowKey &flow) const
{
    const flows::FlowRecord *record = this->parts.table.find(flow);
    return record != nullptr && record->phase == flows::FlowPhase::Open
        && record->mayHaveOtherUpstream;
}

void SharedFlowExchange::tick(std::chrono::milliseconds retention)
{
    const TimePoint now = this->parts.clock.now();
    this->sendRequest();
    std::erase_if(this->neighbours,
                  [now](const auto &entry) { return now - entry.second > kNeighbourRetention; });
    this->flows.sweep(now, retention,
                      [this](const flows::FlowKey &flow) { return this->isOpenHere(flow); });
    this->timer.wakeAt(this->flows.nextDue());
    this->parts.metrics.gauge("shared_flows").set(static_cast<double>(this->flows.size()));
    this->parts.metrics.gauge("shared_flows_dropped")
        .set(static_cast<double>(this->flows.droppedCount()));
}
}
