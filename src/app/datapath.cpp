#include "app/datapath.h"

#include "flows/iflowrouter.h"
#include "global/iclock.h"
#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "telemetry/icounter.h"
#include "telemetry/imetrics.h"

namespace radishladder::app {
DataPath::DataPath(const net::Endpoint &local, flows::IFlowRouter &router, const IClock &clock,
                   net::IEventLoop &loop, telemetry::IMetrics &metrics)
    : local(local), router(router), clock(clock), loop(loop), metrics(metrics),
      forwarded(metrics.counter("packets_forwarded_total")),
      relayed(metrics.counter("packets_relayed_total"))
{ }

DataPath::~DataPath() = default;

std::string DataPath::name() const
{
    return "data-path";
}

bool DataPath::start()
{
    for (std::size_t i = 0; i < this->sockets.size(); ++i) {
        const net::Endpoint endpoint{this->local.address,
                                     static_cast<std::uint16_t>(this->local.port + i)};
        this->sockets[i] = net::BatchSocket::open(endpoint, this->reason);
        if (!this->sockets[i]) {
            this->stop();
            return false;
        }
    }
    for (std::size_t i = 0; i < this->sockets.size(); ++i) {
        const auto source = static_cast<flows::PacketSource>(i);
        this->loop.watchReadable(this->sockets[i]->descriptor(),
                                 [this, source] { this->drain(source); });
    }
    return true;
}

void DataPath::stop()
{
    for (auto &socket : this->sockets) {
        if (socket) {
            this->loop.unwatch(socket->descriptor());
        }
        socket.reset();
    }
}

bool DataPath::isHealthy() const
{
    return true;
}

Reason DataPath::lastReason() const
{
    return this->reason;
}

void DataPath::drain(flows::PacketSource source)
{
    auto &socket = this->sockets[static_cast<std::size_t>(source)];
    if (!socket) {
        return;
    }
    if (source == flows::PacketSource::Fabric) {
        this->arrivedAt = this->clock.now();
    }
    socket->receive([this, source](std::span<std::uint8_t> packet, const net::Endpoint &) {
        this->dispatch(packet, source);
    });
    this->sockets[0]->flush();
}

void DataPath::dispatch(std::span<std::uint8_t> packet, flows::PacketSource source)
{
    const flows::PacketVerdict verdict = this->router.route(packet, source, this->clock.now());
    if (verdict.reason != ResultCode::Ok) {
        this->dropCounter(verdict.reason).add();
        return;
    }
    (verdict.relayed ? this->relayed : this->forwarded).add();
    this->sockets[0]->send(packet, verdict.to);
}

telemetry::ICounter &DataPath::dropCounter(ResultCode code)
{
    telemetry::ICounter *&counter = this->drops[code];
    if (counter == nullptr) {
        counter = &this->metrics.counter("packets_dropped_total",
                                         {{"reason", std::string(resultCodeName(code))}});
    }
    return *counter;
}
}
