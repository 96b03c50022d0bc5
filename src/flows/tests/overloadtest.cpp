#include "directorfixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <functional>
#include <map>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

namespace {
using TimePoint = std::chrono::steady_clock::time_point;

constexpr int kVms = 3;
constexpr int kUpstreams = 14;
constexpr int kSlots = 3;
constexpr int kQueueLength = 12;
constexpr auto kServiceTime = 50ms;
constexpr double kCapacityPerSecond = kUpstreams * kSlots * 20.0;

//! An upstream with slots and a queue; requests that find both full are rejected at once.
struct QueuedUpstream
{
    //! Time at which each slot becomes free.
    std::vector<TimePoint> freeAt = std::vector<TimePoint>(kSlots);
    int pending = 0;
};

//! Simulates one data centre in virtual time; its clients open a flow for each request.
class OverloadSimulation
{
public:
    explicit OverloadSimulation(double loadFactor)
        : interval(std::chrono::nanoseconds(
            static_cast<std::int64_t>(1e9 / (kCapacityPerSecond * loadFactor))))
    {
        std::vector<VmName> names;
        for (const char *name : {"a", "b", "c"}) {
            names.emplace_back(name);
            this->vms.push_back(std::make_unique<DirectorFixture>(name, names.size()));
        }
        for (const auto &vm : this->vms) {
            vm->membership.memberNames = names;
            vm->slots = kSlots;
            for (std::uint64_t id = 1; id <= kUpstreams; ++id) {
                vm->add(id);
            }
        }
    }

    void run(std::chrono::seconds duration)
    {
        this->at(kStart, [this]() { this->openFlow(); });
        while (!this->events.empty() && this->events.begin()->first < kStart + duration) {
            const auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
    }

    int served = 0;
    int rejected = 0;

private:
    static constexpr TimePoint kStart{1h};
    static constexpr auto kRoundTrip = 2ms;

    void at(TimePoint time, std::function<void()> event)
    {
        this->events.emplace(time, std::move(event));
    }

    void openFlow()
    {
        const std::uint16_t port = ++this->lastPort;
        DirectorFixture &vm = *this->vms[port % kVms];
        vm.now = this->now;
        const FlowDecision placed = vm.decide(vm.syn(port));
        if (placed.action == FlowAction::Forward) {
            this->at(this->now + kRoundTrip, [this, &vm, port, id = placed.upstream.value]() {
                this->request(vm, port, id);
            });
        }
        this->at(this->now + this->interval, [this]() { this->openFlow(); });
    }

    void request(DirectorFixture &vm, std::uint16_t port, std::uint64_t id)
    {
        vm.now = this->now;
        vm.decide(vm.data(port, id, 101));
        QueuedUpstream &upstream = this->upstreams[id];
        if (upstream.pending >= kSlots + kQueueLength) {
            ++this->rejected;
            this->at(this->now + kRoundTrip, [this, &vm, port, id]() { this->end(vm, port, id); });
            return;
        }
        ++upstream.pending;
        TimePoint &slot = *std::ranges::min_element(upstream.freeAt);
        slot = std::max(slot, this->now) + kServiceTime;
        this->at(slot, [this, &vm, port, id]() {
            --this->upstreams[id].pending;
            ++this->served;
            this->end(vm, port, id);
        });
    }

    void end(DirectorFixture &vm, std::uint16_t port, std::uint64_t id)
    {
        vm.now = this->now;
        FlowPacket last = vm.data(port, id, 301, 900);
        last.payloadBytes = 0;
        last.isFin = true;
        vm.decide(last);
    }

    std::chrono::nanoseconds interval;
    TimePoint now;
    std::uint16_t lastPort = 0;
    std::vector<std::unique_ptr<DirectorFixture>> vms;
    std::map<std::uint64_t, QueuedUpstream> upstreams;
    std::multimap<TimePoint, std::function<void()>> events;
};
}

Test(overload, upstreams_stay_busy_at_any_request_rate)
{
    struct Row
    {
        double loadFactor;
        double minServed; //!< share of the requested rate or of the capacity, whichever is less
        double maxRejected; //!< share of the capacity that upstreams may reject
    };
    const Row rows[] = {
        {0.7, 0.95, 0.01},
        {0.95, 0.95, 0.02},
        {1.5, 0.9, 0.05},
        {3.0, 0.9, 0.05},
    };
    for (const Row &row : rows) {
        constexpr auto kDuration = 10s;
        OverloadSimulation load(row.loadFactor);
        load.run(kDuration);
        const double capacity = kCapacityPerSecond * static_cast<double>(kDuration.count());
        const double requested = std::min(1.0, row.loadFactor) * capacity;
        cr_assert_geq(load.served, row.minServed * requested, "load factor %.2f: %d served",
                      row.loadFactor, load.served);
        cr_assert_leq(load.rejected, row.maxRejected * capacity, "load factor %.2f: %d rejected",
                      row.loadFactor, load.rejected);
    }
}
