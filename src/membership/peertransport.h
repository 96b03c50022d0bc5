#pragma once

#include "membership/ipeertransport.h"

#include "global/resultcode.h"

#include <memory>
#include <string>
#include <vector>

namespace radishladder::net {
class IDatagramSocket;
}
namespace radishladder::telemetry {
class IMetrics;
}

namespace radishladder::membership {
struct ListedVm;

//! Datagrams between VMs over UDP: sealed, bound to sender and receiver, each accepted once.
class PeerTransport : public IPeerTransport
{
public:
    //! \a start grows with each start of this VM; the first of \a keys seals, every one opens.
    PeerTransport(VmName self, std::uint64_t start, const std::vector<std::string> &keys,
                  net::IDatagramSocket &socket, telemetry::IMetrics &metrics);
    ~PeerTransport() override;

    void send(const VmName &to, MessageKind kind, std::span<const std::uint8_t> payload) override;
    void handle(MessageKind kind, Handler handler) override;
    std::size_t maxPayloadBytes() const override;

    //! Replaces the addresses that datagrams are sent to.
    void useAddresses(const std::vector<ListedVm> &list);

    //! Handles every waiting datagram.
    void receive();

    //! Sends everything queued.
    void flush();

private:
    struct State;

    void receiveOne(std::span<const std::uint8_t> datagram);
    ResultCode dispatch(std::span<const std::uint8_t> datagram);
    void drop(ResultCode code);

    std::unique_ptr<State> state;
};
}
