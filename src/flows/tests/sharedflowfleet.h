#pragma once

#include "directorfixture.h"
#include "flows/sharedflowcodec.h"
#include "flows/sharedflows.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishladder::flows {

//! VMs of one data centre that exchange shared flows, on virtual time. Each lists upstream 1, and
//! upstream 2 in another data centre.
class SharedFlowFleet
{
public:
    explicit SharedFlowFleet(std::size_t capacity = 1000) : capacity(capacity) { }

    //! Starts, or starts again, the VM \a name, which requests what the others know.
    void start(const char *name)
    {
        this->vms[name] = std::make_unique<Vm>(name, this->capacity);
        Vm &vm = *this->vms[name];
        vm.fixture.now = this->now;
        vm.fixture.add(1);
        vm.fixture.add(2, "kobanya");
        vm.fixture.director.setSharedFlows(&vm.flows);
        std::array<std::uint8_t, kMaxSharedFlowBytes> out;
        const std::size_t size = SharedFlows::request(out, this->now);
        this->sendToOthers(name, std::span(out).first(size));
    }

    void end(const char *name) { this->vms.erase(name); }

    DirectorFixture &vm(const char *name) { return this->vms.at(name)->fixture; }
    SharedFlows &flows(const char *name) { return this->vms.at(name)->flows; }

    FlowDecision decide(const char *name, const FlowPacket &packet)
    {
        this->vm(name).now = this->now;
        return this->vm(name).decide(packet);
    }

    //! Passes \a time in steps in which due datagrams arrive.
    void pass(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds kStep{10};
        for (auto passed = kStep; passed <= time; passed += kStep) {
            this->now += kStep;
            for (const auto &[name, vm] : this->vms) {
                std::array<std::uint8_t, kMaxSharedFlowBytes> out;
                while (const std::size_t size = vm->flows.nextDatagram(out, this->now)) {
                    this->sendToOthers(name, std::span(out).first(size));
                }
                FlowTable &table = vm->fixture.table;
                vm->flows.sweep(this->now, kRetention, [&table](const FlowKey &flow) {
                    const FlowRecord *record = table.find(flow);
                    return record != nullptr && record->phase == FlowPhase::Open;
                });
                table.sweep(this->now, kRetention);
            }
        }
    }

    static constexpr std::chrono::milliseconds kRetention{15000};

    //! Number of datagrams to come that are lost.
    int lost = 0;

private:
    struct Vm
    {
        Vm(const char *name, std::size_t capacity) : fixture(name), flows(capacity) { }

        DirectorFixture fixture;
        SharedFlows flows;
    };

    void sendToOthers(const std::string &sender, std::span<const std::uint8_t> datagram)
    {
        if (this->lost > 0) {
            --this->lost;
            return;
        }
        Vm &from = *this->vms.at(sender);
        for (const auto &[name, vm] : this->vms) {
            if (name != sender) {
                vm->flows.receive(datagram, this->now, [this, &from](auto response) {
                    from.flows.receive(response, this->now, [](auto) {});
                });
            }
        }
    }

    std::size_t capacity;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    std::map<std::string, std::unique_ptr<Vm>> vms;
};
}
