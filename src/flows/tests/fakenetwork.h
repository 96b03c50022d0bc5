#pragma once

#include "membership/ipeertransport.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace radishladder::flows {

//! Datagrams between the VMs of a test, delivered when it says so.
class FakeNetwork
{
public:
    class Transport : public membership::IPeerTransport
    {
    public:
        Transport(FakeNetwork &network, VmName self) : network(network), self(std::move(self)) { }

        void send(const VmName &to, membership::MessageKind kind,
                  std::span<const std::uint8_t> payload) override
        {
            this->network.waiting.push_back(
                {this->self, to, kind, {payload.begin(), payload.end()}});
        }
        void handle(membership::MessageKind kind, Handler handler) override
        {
            this->network.handlers[this->self][kind] = std::move(handler);
        }
        std::size_t maxPayloadBytes() const override { return 1200; }

    private:
        FakeNetwork &network;
        VmName self;
    };

    std::unique_ptr<Transport> join(const VmName &vm)
    {
        return std::make_unique<Transport>(*this, vm);
    }

    //! Delivers everything, also what is sent meanwhile, except between cut VMs.
    void deliver()
    {
        while (!this->waiting.empty()) {
            const Datagram datagram = this->waiting.front();
            this->waiting.pop_front();
            const auto handlers = this->handlers.find(datagram.to);
            if (handlers == this->handlers.end() || this->isCut(datagram.from, datagram.to)) {
                continue;
            }
            const auto handler = handlers->second.find(datagram.kind);
            if (handler != handlers->second.end()) {
                this->bytes += datagram.payload.size();
                handler->second(datagram.from, datagram.payload);
            }
        }
    }

    //! Loses everything that waits.
    void lose() { this->waiting.clear(); }

    void remove(const VmName &vm) { this->handlers.erase(vm); }

    bool isCut(const VmName &a, const VmName &b) const
    {
        return this->cut.contains({a, b}) || this->cut.contains({b, a});
    }

    std::set<std::pair<VmName, VmName>> cut;
    std::size_t bytes = 0;

private:
    struct Datagram
    {
        VmName from;
        VmName to;
        membership::MessageKind kind;
        std::vector<std::uint8_t> payload;
    };

    std::deque<Datagram> waiting;
    std::map<VmName, std::map<membership::MessageKind, membership::IPeerTransport::Handler>>
        handlers;
};
}
