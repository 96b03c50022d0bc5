#pragma once

#include "app/packetbuffer.h"
#include "app/stalldetector.h"
#include "flows/types/flowdecision.h"
#include "net/types/endpoint.h"
#include "supervision/icomponent.h"

#include <chrono>
#include <cstdint>
#include <functional>
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

//! Receives the packets of clients and forwards, resets or drops each as the flow director decides.
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

    //! Sets the function that is called with a decision that needs the newest changes of the
    //! upstreams or of the routes.
    void setConfirmationHandler(std::function<void(const flows::FlowDecision &)> handler)
    {
        this->confirmationHandler = std::move(handler);
    }

    //! Must be called several times per second, so that pauses of the process are detected.
    void recordRunning();

    //! Returns the time at which the last packet arrived.
    std::chrono::steady_clock::time_point lastPacketTime() const { return this->lastPacketAt; }

private:
    void receive();
    void handle(std::span<const std::uint8_t> datagram);
    void bufferPacket(std::span<const std::uint8_t> datagram);
    void processBufferedPackets();
    //! Returns false if the packet cannot be encoded for its upstream.
    bool forward(std::span<const std::uint8_t> datagram, const flows::FlowDecision &decision);
    void reset(const flows::FlowPacket &packet);
    void logDecision(const flows::FlowPacket &packet, const flows::FlowDecision &decision);

    net::IEventLoop &loop;
    const IClock &clock;
    const flows::IPacketCodec &codec;
    flows::FlowDirector &director;
    telemetry::IEventLog &log;
    net::Endpoint local;
    std::function<void(const flows::FlowDecision &)> confirmationHandler;
    std::unique_ptr<PacketCounters> counters;
    std::unique_ptr<net::BatchSocket> socket;
    PacketBuffer packetBuffer;
    StallDetector stallDetector;
    bool isProcessingScheduled = false;
    std::chrono::steady_clock::time_point lastPacketAt;

    //! Time at which processing of the current packets started; the same for all packets of a
    //! batch.
    std::chrono::steady_clock::time_point batchTime;
    Reason reason;
};
}
