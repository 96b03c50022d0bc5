#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"
#include "standins/delayline.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}

namespace radishladder::settings {
struct VmSettings;
}

namespace radishladder::standins {
class NetworkMap;

//! The network between the VMs: passes on datagrams sent to a VM's listed address, delays or cuts
//! them, and counts the bytes that each VM sends.
class LinkStandin
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! \a listed holds the addresses that the platform names for the VMs, one for each of \a vms.
    LinkStandin(const std::vector<settings::VmSettings> &vms,
                const std::vector<settings::VmSettings> &listed, const NetworkMap &network,
                net::IEventLoop &loop);
    ~LinkStandin();

    bool start();

    //! Bytes of peer datagrams that \a vm sent, IP and UDP headers included.
    std::uint64_t peerBytesFrom(const VmName &vm) const;

    //! Peer datagrams that \a vm sent.
    std::uint64_t peerDatagramsFrom(const VmName &vm) const;

    //! When a VM of another data centre last relayed a packet to a VM of \a dataCentre.
    std::optional<TimePoint> lastRelayTo(const DataCentreName &dataCentre) const;

private:
    struct Sender
    {
        VmName vm;
        DataCentreName dataCentre;
    };

    struct Port
    {
        net::Endpoint listed;
        net::Endpoint real;
        bool isPeer = false;
        DataCentreName dataCentre;
        std::unique_ptr<net::BatchSocket> socket;
    };

    void watch(Port &port);
    void pass(Port &port, std::span<const std::uint8_t> datagram, std::uint32_t from);

    const NetworkMap &network;
    net::IEventLoop &loop;
    DelayLine line;
    std::map<std::uint32_t, Sender> senders;
    std::vector<Port> ports;
    std::map<VmName, std::uint64_t> peerBytes;
    std::map<VmName, std::uint64_t> peerDatagrams;
    std::map<DataCentreName, TimePoint> lastRelay;
};
}
