#include "flows/tests/flowcluster.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;
using membership::MemberState;

namespace {
constexpr std::size_t kVms = 4;

//! Moves the board service's slots to another table step by step. Each VM takes each step at its
//! own time, but no VM is more than one step ahead of another.
class UnevenChange
{
public:
    UnevenChange(FlowCluster &cluster, placement::UpstreamIndex from) : cluster(cluster), from(from)
    { }

    void begin(placement::UpstreamIndex target)
    {
        if (this->isQuiet() && target != this->from) {
            this->to = target;
            this->step = 0;
            this->advanceOne();
        }
    }

    //! Delivers the present step to one VM, or starts the next if all have it.
    void advanceOne()
    {
        if (this->isQuiet()) {
            return;
        }
        if (this->taken.size() == kVms) {
            this->taken.clear();
            if (++this->step == 2) {
                // The old table stays until its flows have ended, which no test waits for.
                this->step = 0;
                this->to = this->from;
                return;
            }
        }
        const auto vm = *rc::gen::inRange<std::size_t>(0, kVms);
        this->taken.insert(vm);
        const bool isActive = this->step == 1;
        this->cluster.vm(vm).placement.setViews(
            0, {0, isActive ? this->to : this->from, true, isActive});
        if (isActive && this->taken.size() == kVms) {
            this->from = this->to;
            this->taken.clear();
            this->step = 0;
        }
    }

    bool isQuiet() const { return this->from == this->to; }

private:
    FlowCluster &cluster;
    placement::UpstreamIndex from;
    placement::UpstreamIndex to = 0;
    int step = 0;
    std::set<std::size_t> taken;
};

bool isName(const std::string &outcome)
{
    return outcome.size() == 1;
}

//! Stops one VM as planned: hand-over first, then the process ends.
void stopOne(FlowCluster &cluster, std::size_t vm)
{
    cluster.setState(vm, MemberState::Leaving);
    cluster.vm(vm).router.prepareStop(cluster.clock.now());
    for (int i = 0; i < 60 && !cluster.vm(vm).router.isReadyToStop(cluster.clock.now()); ++i) {
        cluster.run(100ms);
    }
    cluster.kill(vm);
}
}

Test(flowproperty, no_planned_change_breaks_a_flow)
{
    cr_assert(rc::check([] {
        FlowCluster cluster(kVms);
        UnevenChange change(cluster, 0);
        std::map<std::uint16_t, std::string> flows;
        std::uint16_t next = 0;
        std::size_t up = kVms;
        const auto steps = *rc::gen::inRange(20, 60);
        for (int i = 0; i < steps; ++i) {
            const auto vm = *rc::gen::inRange<std::size_t>(0, kVms);
            const auto action = *rc::gen::inRange(0, 10);
            if (action < 3) {
                const std::string outcome = cluster.send(vm, FlowCluster::flow(next), Segment::Syn);
                if (isName(outcome)) {
                    flows[next] = outcome;
                }
                ++next;
            } else if (action < 5) {
                change.advanceOne();
            } else if (action == 5) {
                change.begin(*rc::gen::inRange<placement::UpstreamIndex>(0, 3));
            } else if (action == 6) {
                cluster.run(std::chrono::milliseconds(*rc::gen::inRange(100, 4000)));
            } else if (action == 7 && up > 2 && cluster.vm(vm).isUp) {
                stopOne(cluster, vm);
                --up;
            } else {
                for (const auto &[n, upstream] : flows) {
                    const auto outcome = cluster.send(vm, FlowCluster::flow(n), Segment::Data);
                    RC_ASSERT(!isName(outcome) || outcome == upstream);
                }
            }
        }
        cluster.run(5s);
        for (const auto &[n, upstream] : flows) {
            for (std::size_t vm = 0; vm < kVms; ++vm) {
                const auto outcome = cluster.send(vm, FlowCluster::flow(n), Segment::Data);
                RC_ASSERT(outcome == upstream || !cluster.vm(vm).isUp);
            }
        }
    }));
}

Test(flowproperty, equal_inputs_give_the_same_upstream)
{
    cr_assert(rc::check([](std::uint16_t n, bool contested) {
        FlowCluster cluster(kVms);
        const auto oldest = *rc::gen::inRange<placement::UpstreamIndex>(0, 3);
        const auto current = *rc::gen::inRange<placement::UpstreamIndex>(0, 3);
        cluster.setViews(contested ? oldest : current, current, contested, contested);
        const FlowKey key = FlowCluster::flow(n % 30000);
        const auto segment = *rc::gen::element(Segment::Syn, Segment::Data);
        const std::string first = cluster.send(0, key, segment);
        RC_ASSERT(isName(first));
        for (std::size_t vm = 1; vm < kVms; ++vm) {
            RC_ASSERT(cluster.send(vm, key, segment) == first);
        }
    }));
}

Test(flowproperty, another_service_is_unreachable)
{
    cr_assert(rc::check([](std::uint16_t n) {
        FlowCluster cluster(2);
        const auto index = [] { return *rc::gen::inRange<placement::UpstreamIndex>(0, 4); };
        for (std::size_t vm = 0; vm < 2; ++vm) {
            // Arbitrary tables, also wrong ones that name the other service's upstreams.
            for (std::uint32_t service = 0; service < 2; ++service) {
                const bool contested = *rc::gen::arbitrary<bool>();
                cluster.vm(vm).placement.setViews(service, {index(), index(), contested, true});
            }
        }
        for (int i = 0; i < 40; ++i) {
            FlowKey key = FlowCluster::flow(n % 30000);
            key.service.port = *rc::gen::element<std::uint16_t>(443, 444, 445);
            const auto segment = *rc::gen::element(Segment::Syn, Segment::Data, Segment::Fin);
            const auto vm = *rc::gen::inRange<std::size_t>(0, 2);
            const std::string outcome = cluster.send(vm, key, segment);
            if (isName(outcome)) {
                RC_ASSERT((outcome == "x") == (key.service.port == 444));
                RC_ASSERT(key.service.port != 445);
            }
        }
    }));
}

Test(flowproperty, arbitrary_bytes_are_dropped_by_reason)
{
    FlowCluster cluster(1);
    cr_assert(rc::check([&cluster](std::vector<std::uint8_t> bytes) {
        const auto verdict =
            cluster.vm(0).router.route(bytes, PacketSource::Fabric, cluster.clock.now());
        RC_ASSERT(verdict.reason != ResultCode::Ok);
    }));
}
