#pragma once

#include "app/duetimer.h"
#include "flows/sharedflows.h"
#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace radishladder::flows {
class FlowTable;
}
namespace radishladder::telemetry {
class IMetrics;
}

namespace radishladder::app {
class PeerSocket;

//! Exchanges with other VMs the flows whose packets don't show their upstream to every VM.
class SharedFlowExchange
{
public:
    //! Parts of the process that the exchange uses.
    struct Parts
    {
        net::IEventLoop &loop;
        const IClock &clock;
        PeerSocket &socket;
        flows::FlowTable &table;
        telemetry::IMetrics &metrics;
    };

    explicit SharedFlowExchange(const Parts &parts);

    flows::SharedFlows &sharedFlows() { return this->flows; }

    //! Adds the VMs with the relay addresses \a relays as peers; members are peers already.
    void addNeighbours(const std::vector<net::Endpoint> &relays);

    //! Requests the flows that the other VMs know; the next ticks do so again, since datagrams may
    //! be lost.
    void requestFlows();

    //! Must be called several times per second; \a retention is the time after which idle flows may
    //! be discarded.
    void tick(std::chrono::milliseconds retention);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    void receive(std::span<const std::uint8_t> datagram, const net::Endpoint &sender);
    void sendRequest();
    void sendDue();
    void sendToAll(std::span<const std::uint8_t> datagram);
    bool isOpenHere(const flows::FlowKey &flow) const;

    Parts parts;
    flows::SharedFlows flows;
    DueTimer timer;
    int requestsLeft = 0;

    //! When a datagram of each VM of another data centre was last received, or when it was added.
    std::map<net::Endpoint, TimePoint> neighbours;
};
}
