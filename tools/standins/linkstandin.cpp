#include "standins/linkstandin.h"

#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "settings/types/vmsettings.h"
#include "standins/networkmap.h"

#include <algorithm>

namespace radishladder::standins {
namespace {
constexpr std::uint64_t kIpUdpHeaderBytes = 28;

net::Endpoint shifted(const net::Endpoint &endpoint, int ports)
{
    return {endpoint.address, static_cast<std::uint16_t>(endpoint.port + ports)};
}

std::uint64_t countOf(const std::map<VmName, std::uint64_t> &counts, const VmName &vm)
{
    const auto found = counts.find(vm);
    return found == counts.end() ? 0 : found->second;
}
}

LinkStandin::LinkStandin(const std::vector<settings::VmSettings> &vms,
                         const std::vector<settings::VmSettings> &listed, const NetworkMap &network,
                         net::IEventLoop &loop)
    : network(network), loop(loop), line(loop)
{
    for (std::size_t i = 0; i < vms.size(); ++i) {
        this->senders[vms[i].data.address] = {vms[i].name, vms[i].dataCentre};
        this->ports.push_back({listed[i].peer, vms[i].peer, true, vms[i].dataCentre, nullptr});
        for (int relay = 1; relay <= 2; ++relay) {
            this->ports.push_back({shifted(listed[i].data, relay), shifted(vms[i].data, relay),
                                   false, vms[i].dataCentre, nullptr});
        }
    }
}

LinkStandin::~LinkStandin() = default;

bool LinkStandin::start()
{
    return std::ranges::all_of(this->ports, [this](Port &port) {
        Reason reason;
        port.socket = net::BatchSocket::open(port.listed, reason);
        if (port.socket) {
            this->watch(port);
        }
        return port.socket != nullptr;
    });
}

std::uint64_t LinkStandin::peerBytesFrom(const VmName &vm) const
{
    return countOf(this->peerBytes, vm);
}

std::uint64_t LinkStandin::peerDatagramsFrom(const VmName &vm) const
{
    return countOf(this->peerDatagrams, vm);
}

std::optional<LinkStandin::TimePoint> LinkStandin::lastRelayTo(
    const DataCentreName &dataCentre) const
{
    const auto found = this->lastRelay.find(dataCentre);
    return found == this->lastRelay.end() ? std::nullopt : std::make_optional(found->second);
}

void LinkStandin::watch(Port &port)
{
    this->loop.watchReadable(port.socket->descriptor(), [this, &port] {
        port.socket->receive(
            [this, &port](std::span<std::uint8_t> datagram, const net::Endpoint &from) {
                this->pass(port, datagram, from.address);
            });
    });
}

void LinkStandin::pass(Port &port, std::span<const std::uint8_t> datagram, std::uint32_t from)
{
    const auto sender = this->senders.find(from);
    if (sender == this->senders.end()) {
        return;
    }
    if (port.isPeer) {
        ++this->peerDatagrams[sender->second.vm];
        this->peerBytes[sender->second.vm] += datagram.size() + kIpUdpHeaderBytes;
    }
    if (this->network.isCut(from, port.real.address)) {
        return;
    }
    if (!port.isPeer && sender->second.dataCentre != port.dataCentre) {
        this->lastRelay[port.dataCentre] = std::chrono::steady_clock::now();
    }
    const auto delay = this->network.delay(from, port.real.address);
    if (delay.count() == 0) {
        port.socket->send(datagram, port.real);
        return;
    }
    this->line.later(delay, [&port, copy = std::vector(datagram.begin(), datagram.end())] {
        port.socket->send(copy, port.real);
        port.socket->flush();
    });
}
}
