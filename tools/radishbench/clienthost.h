#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>

namespace radishladder {
class IRandom;
}
namespace radishladder::flows {
struct FlowKey;
}
namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}
namespace radishladder::platform {
struct WirePacket;
}

namespace radishladder::radishbench {
class CheckResults;

//! Simulates the clients of one address: opens flows, sends requests and retries them, and checks
//! the packets that come back.
class ClientHost
{
public:
    //! Sends a datagram to the VM that the router selects for \a flow; returns false if no VM is in
    //! rotation.
    using DatagramSender =
        std::function<bool(const flows::FlowKey &flow, std::span<const std::uint8_t>)>;

    //! Returns true if a running upstream still has \a flow, which it accepted with \a sequence,
    //! and no configuration since \a openedAt has removed its route.
    using FlowPredicate = std::function<bool(const flows::FlowKey &flow, std::uint32_t sequence,
                                             std::chrono::steady_clock::time_point openedAt)>;

    ClientHost(net::IEventLoop &loop, IRandom &random, CheckResults &results, net::Endpoint local,
               DatagramSender sendDatagram, FlowPredicate isFlowHeld);
    ~ClientHost();

    //! Opens the socket; returns false if the address is in use.
    bool start();

    //! Opens a flow to \a service and sends \a requestCount requests on it, one after the other.
    void open(const net::Endpoint &service, int requestCount);

private:
    struct Session;

    void receive();
    void handle(std::span<const std::uint8_t> datagram);
    void onSynAck(Session &session, const platform::WirePacket &packet);
    void onReset(Session &session, const platform::WirePacket &packet);
    void onResponse(Session &session, const platform::WirePacket &packet);
    void sendSyn(Session &session, std::uint32_t retransmission);
    void sendRequest(Session &session, std::chrono::milliseconds retryDelay);
    void sendPacket(Session &session, platform::WirePacket packet);
    void schedule(Session &session, std::chrono::milliseconds delay,
                  std::function<void(Session &)> action);
    void finish(Session &session, const char *outcome);

    net::IEventLoop &loop;
    IRandom &random;
    CheckResults &results;
    net::Endpoint local;
    DatagramSender sendDatagram;
    FlowPredicate isFlowHeld;
    std::unique_ptr<net::BatchSocket> socket;
    std::uint16_t lastPort = 1024;
    std::unordered_map<std::uint16_t, std::unique_ptr<Session>> sessions;
};
}
