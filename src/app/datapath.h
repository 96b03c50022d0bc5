#pragma once

#include "flows/types/packetsource.h"
#include "supervision/icomponent.h"

#include "net/types/endpoint.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>

namespace radishladder {
class IClock;
}
namespace radishladder::flows {
class IFlowRouter;
}
namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}
namespace radishladder::telemetry {
class ICounter;
class IMetrics;
}

namespace radishladder::app {

//! Binds the flow decisions to sockets: receives packets in batches, sends them where the router
//! says.
class DataPath : public supervision::IComponent
{
public:
    DataPath(const net::Endpoint &local, flows::IFlowRouter &router, const IClock &clock,
             net::IEventLoop &loop, telemetry::IMetrics &metrics);
    ~DataPath() override;

    std::string name() const override;
    bool start() override;
    void stop() override;
    bool isHealthy() const override;
    Reason lastReason() const override;

    //! When the fabric last handed over a packet.
    std::chrono::steady_clock::time_point lastArrival() const { return this->arrivedAt; }

private:
    void drain(flows::PacketSource source);
    void dispatch(std::span<std::uint8_t> packet, flows::PacketSource source);
    telemetry::ICounter &dropCounter(ResultCode code);

    net::Endpoint local;
    flows::IFlowRouter &router;
    const IClock &clock;
    net::IEventLoop &loop;
    telemetry::IMetrics &metrics;
    telemetry::ICounter &forwarded;
    telemetry::ICounter &relayed;
    std::map<ResultCode, telemetry::ICounter *> drops;
    std::array<std::unique_ptr<net::BatchSocket>, 3> sockets;
    std::chrono::steady_clock::time_point arrivedAt{};
    Reason reason;
};
}
