#pragma once

#include "global/manualclock.h"
#include "global/seededrandom.h"
#include "membership/ipeertransport.h"
#include "membership/membership.h"
#include "membership/sharedfacts.h"
#include "membership/types/listedvm.h"
#include "membership/types/member.h"
#include "telemetry/prometheusmetrics.h"
#include "telemetry/timeline.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace radishladder::membership {

//! In-process VMs over a network of virtual time that loses, repeats, delays and cuts.
class Fleet
{
public:
    using Milliseconds = std::chrono::milliseconds;
    using Value = ISharedFacts::Value;

    static constexpr Milliseconds kStep{50};
    static constexpr std::size_t kDatagramOverheadBytes = 43;

    class Transport : public IPeerTransport
    {
    public:
        Transport(Fleet &fleet, VmName self) : fleet(fleet), self(std::move(self)) { }
        void send(const VmName &to, MessageKind kind,
                  std::span<const std::uint8_t> payload) override
        {
            if (this->addresses.contains(to)) {
                const std::size_t bytes =
                    payload.size() + kDatagramOverheadBytes + this->self.str().size();
                this->bytesSent += bytes;
                this->largest = std::max(this->largest, bytes);
                this->fleet.post(this->self, to, kind, {payload.begin(), payload.end()});
            }
        }
        void handle(MessageKind kind, Handler handler) override { this->handlers[kind] = handler; }
        std::size_t maxPayloadBytes() const override { return 1292; }

        Fleet &fleet;
        VmName self;
        std::set<VmName> addresses;
        std::map<MessageKind, Handler> handlers;
        std::uint64_t bytesSent = 0;
        std::size_t largest = 0;
    };

    struct Vm
    {
        Vm(Fleet &fleet, const ListedVm &vm, std::uint64_t start)
            : name(vm.name), random(start ^ std::hash<std::string>()(vm.name.str())),
              timeLine(this->clock, vm.name, vm.dataCentre), transport(fleet, vm.name),
              membership({.name = vm.name,
                          .dataCentre = vm.dataCentre,
                          .incarnation = start,
                          .start = start},
                         this->transport, this->random, this->clock, this->timeLine, this->metrics),
              facts(this->membership, this->transport, this->clock, this->metrics)
        {
            this->membership.onAddresses([this](const std::vector<ListedVm> &list) {
                this->transport.addresses.clear();
                for (const ListedVm &entry : list) {
                    this->transport.addresses.insert(entry.name);
                }
            });
        }

        MemberState sees(const VmName &other) const
        {
            const Member *member = this->membership.find(other);
            return member == nullptr ? MemberState::Dead : member->state;
        }
        bool isConfident() const { return this->membership.isConfident(this->clock.now()); }

        VmName name;
        ManualClock clock;
        SeededRandom random;
        telemetry::PrometheusMetrics metrics;
        telemetry::TimeLine timeLine;
        Transport transport;
        Membership membership;
        SharedFacts facts;
        int group = 0;
        bool isPaused = false;
    };

    //! \a count VMs that all know the list of all.
    explicit Fleet(int count, std::uint64_t seed = 1) : random(seed)
    {
        for (int i = 0; i < count; ++i) {
            this->list.push_back(listed(i));
            this->start(i);
        }
        this->applyList();
    }

    static ListedVm listed(int index)
    {
        return {.name = VmName("vm-" + std::to_string(index)),
                .dataCentre = DataCentreName("dc-" + std::to_string(index % 2))};
    }

    //! Starts or restarts VM \a index as a new process without any knowledge.
    void start(int index)
    {
        const auto before = this->vms.find(index);
        const int group = before == this->vms.end() ? 0 : before->second->group;
        this->vms[index] = std::make_unique<Vm>(*this, listed(index), ++this->starts * 1000);
        this->vms[index]->group = group;
        this->vms[index]->clock.advance(this->elapsed);
        this->inFlight.remove_if([&](const Datagram &d) { return d.to == listed(index).name; });
    }
    void kill(int index) { this->vms.erase(index); }

    void applyList()
    {
        ++this->listRevision;
        for (auto &[index, vm] : this->vms) {
            vm->membership.applyVmList(this->listRevision, this->list);
        }
    }

    void run(
        Milliseconds duration, const std::function<void()> &check = [] {})
    {
        for (Milliseconds done{}; done < duration; done += kStep) {
            this->step();
            check();
        }
    }

    Vm &at(int index) { return *this->vms.at(index); }
    bool has(int index) const { return this->vms.contains(index); }
    std::map<int, std::unique_ptr<Vm>> &all() { return this->vms; }

    int lossPercent = 0;
    int repeatPercent = 0;
    Milliseconds maxDelay{0};
    std::vector<ListedVm> list;
    std::int64_t listRevision = 0;

private:
    struct Datagram
    {
        VmName from;
        VmName to;
        MessageKind kind;
        std::vector<std::uint8_t> payload;
        Milliseconds due{};
    };

    bool happens(int percent) { return static_cast<int>(this->random.next() % 100) < percent; }

    Vm *find(const VmName &name)
    {
        const auto vm = this->vms.find(std::stoi(name.str().substr(3)));
        return vm == this->vms.end() ? nullptr : vm->second.get();
    }

    void post(const VmName &from, const VmName &to, MessageKind kind,
              const std::vector<std::uint8_t> &payload)
    {
        const int copies = this->happens(this->lossPercent) ? 0
            : this->happens(this->repeatPercent)            ? 2
                                                            : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay = this->maxDelay.count() == 0
                ? 0
                : static_cast<int>(this->random.next()
                                   % static_cast<std::uint64_t>(this->maxDelay.count()));
            this->inFlight.push_back(
                {from, to, kind, payload, this->elapsed + Milliseconds(delay)});
        }
    }

    void step()
    {
        this->elapsed += kStep;
        for (auto &[index, vm] : this->vms) {
            vm->clock.advance(kStep);
        }
        this->deliver();
        for (auto &[index, vm] : this->vms) {
            if (!vm->isPaused) {
                vm->membership.tick();
                vm->facts.tick();
            }
        }
        // Answers within the step: the network is far faster than the ticks.
        this->deliver();
    }

    void deliver()
    {
        for (auto next = this->inFlight.begin(); next != this->inFlight.end();) {
            Vm *to = this->find(next->to);
            const Vm *from = this->find(next->from);
            if (next->due > this->elapsed || (to != nullptr && to->isPaused)) {
                ++next;
                continue;
            }
            if (to != nullptr && from != nullptr && to->group == from->group) {
                const auto handler = to->transport.handlers.find(next->kind);
                if (handler != to->transport.handlers.end()) {
                    handler->second(next->from, next->payload);
                }
            }
            next = this->inFlight.erase(next);
        }
    }

    SeededRandom random;
    std::map<int, std::unique_ptr<Vm>> vms;
    std::list<Datagram> inFlight;
    Milliseconds elapsed{};
    std::uint64_t starts = 0;
};
}
