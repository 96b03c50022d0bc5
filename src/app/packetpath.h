#pragma once

#include "app/heldpackets.h"
#include "app/stalldetector.h"
#include "flows/types/flowdecision.h"
#include "net/types/endpoint.h"
#include "supervision/icomponent.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>

namespace radishladder {
class IClock;
}
namespace radishladder::flows {
class FlowDirector;
class IPacketCodec;
struct FlowPacket;
}
namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}
namespace radishladder::telemetry {
class IEventLog;
class IMetrics;
}

namespace radishladder::app {
class PacketCounters;

//! Receives callers' packets, has each one decided and carries the decision out.
class PacketPath : public supervision::IComponent
{
public:
    PacketPath(net::IEventLoop &loop, const IClock &clock, const flows::IPacketCodec &codec,
               flows::FlowDirector &director, telemetry::IEventLog &log,
               telemetry::IMetrics &metrics, const net::Endpoint &local);
    ~PacketPath() override;

    std::string name() const override { return "packets"; }
    bool start() override;
    void stop() override;
    bool isHealthy() const override { return this->socket != nullptr; }
    Reason lastReason() const override { return this->reason; }

    //! Call it several times a second, so that a pause of the process shows.
    void noteAwake();

    //! When the last packet arrived.
    std::chrono::steady_clock::time_point lastPacket() const { return this->lastPacketAt; }

private:
    void receive();
    void handle(std::span<const std::uint8_t> datagram);
    void hold(std::span<const std::uint8_t> datagram);
    void releaseHeld();
    void forward(std::span<const std::uint8_t> datagram, const flows::FlowDecision &decision);
    void reset(const flows::FlowPacket &packet);
    void report(const flows::FlowPacket &packet, const flows::FlowDecision &decision);

    net::IEventLoop &loop;
    const IClock &clock;
    const flows::IPacketCodec &codec;
    flows::FlowDirector &director;
    telemetry::IEventLog &log;
    net::Endpoint local;
    std::unique_ptr<PacketCounters> counters;
    std::unique_ptr<net::BatchSocket> socket;
    HeldPackets held;
    StallDetector stalls;
    bool releasePending = false;
    std::chrono::steady_clock::time_point lastPacketAt;
    std::chrono::steady_clock::time_point batchTime;
    Reason reason;
};
}
