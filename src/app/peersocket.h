#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::net {
class BatchSocket;
class IEventLoop;
struct TrafficMeter;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::app {

//! UDP socket on which VMs exchange datagrams. A VM whose socket cannot be opened exchanges none,
//! so the process does not depend on it.
class PeerSocket
{
public:
    //! Parts of the process that the socket uses.
    struct Parts
    {
        net::IEventLoop &loop;
        const IClock &clock;
        const membership::IMembership &membership;
        telemetry::IEventLog &log;
        net::TrafficMeter &traffic;
    };

    using Receiver =
        std::function<void(std::span<const std::uint8_t> datagram, const net::Endpoint &sender)>;

    //! Receives at \a local and sends to the same port of each member's relay address.
    PeerSocket(const Parts &parts, VmName self, const net::Endpoint &local);
    ~PeerSocket();

    //! Passes datagrams whose first two bytes, in network byte order, are \a magic to \a receiver.
    void addReceiver(std::uint16_t magic, Receiver receiver);

    //! Opens the socket; if that fails, logs the reason, and tick() tries again later.
    void start();

    //! Must be called several times per second.
    void tick();

    //! Reads the members of the data centre again; tick() does so regularly.
    void updateMembers();

    bool isOpen() const { return this->socket != nullptr; }
    //! Returns the address on which the VM at \a address receives datagrams.
    net::Endpoint peerAt(std::uint32_t address) const { return {address, this->local.port}; }
    bool isSelfOrMember(const net::Endpoint &vm) const;

    //! Returns how long the datagram that is being received waited in the queue of the socket.
    std::chrono::nanoseconds queueTime() const;

    //! Sends to all other members; \a datagram is sent with the next flush().
    void sendToMembers(std::span<const std::uint8_t> datagram);
    void send(std::span<const std::uint8_t> datagram, const net::Endpoint &peer);
    void flush();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    void receive();

    Parts parts;
    VmName self;
    net::Endpoint local;
    std::map<std::uint16_t, Receiver> receivers;
    std::unique_ptr<net::BatchSocket> socket;
    TimePoint nextStart;
    std::vector<net::Endpoint> peers;
    TimePoint nextMemberUpdate;
};
}
