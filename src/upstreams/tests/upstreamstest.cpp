#include "upstreams/upstreams.h"

#include "global/manualclock.h"
#include "telemetry/timeline.h"
#include "upstreams/internal/upstreamtracker.h"
#include "upstreams/tests/fakes.h"
#include "upstreams/types/loadreport.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace radishladder;
using namespace radishladder::upstreams;
using namespace std::chrono_literals;

namespace {
const UpstreamName kHost("h1");

//! Several VMs before one upstream with three slots.
class Fleet
{
public:
    explicit Fleet(int vms)
    {
        for (int i = 0; i < vms; ++i) {
            this->list.push_back(
                {.name = VmName("vm-" + std::to_string(i)), .dataCentre = DataCentreName("obuda")});
        }
        this->configuration.generation = 1;
        this->configuration.dataCentres = {{DataCentreName("obuda")}};
        settings::Upstream host;
        host.name = kHost;
        host.dataCentre = DataCentreName("obuda");
        host.http = {0x7f000001, 80};
        settings::Service service;
        service.name = ServiceName("portal");
        service.upstreams = {host};
        this->configuration.services = {service};
        this->holder.accept(this->configuration);
        for (const membership::Member &member : this->list) {
            this->vms.push_back(std::make_unique<Vm>(*this, member.name));
        }
    }

    struct Vm
    {
        Vm(Fleet &fleet, const VmName &name)
            : membership(name), facts(fleet.bus, name),
              line(fleet.clock, name, DataCentreName("obuda")),
              upstreams(fleet.holder, membership, facts, line, fleet.clock)
        {
            this->membership.list = fleet.list;
        }
        FakeMembership membership;
        FakeFacts facts;
        telemetry::TimeLine line;
        Upstreams upstreams;
    };

    void step(std::chrono::milliseconds duration = 500ms)
    {
        this->clock.advance(duration);
        for (auto &vm : this->vms) {
            if (!this->isDead(*vm)) {
                vm->upstreams.tick(this->clock.now());
            }
        }
        this->bus.deliverAll();
    }

    void settle()
    {
        for (int i = 0; i < 4; ++i) {
            this->step();
        }
    }

    Vm *prober(std::size_t number)
    {
        for (auto &vm : this->vms) {
            if (!vm->upstreams.probeDuties().empty() && number-- == 0) {
                return vm.get();
            }
        }
        return nullptr;
    }

    void probeSeconds(int count, ReportedState state = ReportedState::Ready)
    {
        for (int i = 0; i < count * 2; ++i) {
            for (auto &vm : this->vms) {
                if (!this->isDead(*vm)) {
                    vm->upstreams.probeAnswered(kHost, {.state = state}, this->clock.now());
                }
            }
            this->step();
        }
    }

    //! A dead VM does and learns nothing more.
    void kill(const VmName &name)
    {
        this->dead.insert(name);
        std::erase_if(this->bus.vms,
                      [&](const FakeFacts *facts) { return facts->owner() == name; });
        for (auto &vm : this->vms) {
            for (membership::Member &member : vm->membership.list) {
                if (member.name == name) {
                    member.state = membership::MemberState::Dead;
                }
            }
        }
    }

    bool isDead(const Vm &vm) const { return this->dead.contains(vm.membership.self()); }

    //! Requests that all VMs together are allowed at once.
    int admittedAtOnce()
    {
        int sum = 0;
        for (auto &vm : this->vms) {
            while (vm->upstreams.admitRequest(kHost, this->clock.now())) {
                ++sum;
            }
        }
        return sum;
    }

    void endAll(Observation observation = Observation::Cancelled)
    {
        for (auto &vm : this->vms) {
            for (int i = 0; i < 3; ++i) {
                vm->upstreams.requestEnded(kHost, observation, 10ms, this->clock.now());
            }
        }
    }

    void warmUp()
    {
        for (int round = 0; round < 6; ++round) {
            this->clock.advance(50ms);
            for (auto &vm : this->vms) {
                while (vm->upstreams.admitRequest(kHost, this->clock.now())) {
                    for (int i = 0; i < UpstreamTracker::kAnswersPerSlot; ++i) {
                        vm->upstreams.requestEnded(kHost, Observation::Answered, 10ms,
                                                   this->clock.now());
                    }
                    break;
                }
            }
            this->step();
        }
    }

    ManualClock clock;
    FactBus bus;
    settings::Configuration configuration;
    settings::ConfigurationHolder holder;
    std::vector<membership::Member> list;
    std::vector<std::unique_ptr<Vm>> vms;
    std::set<VmName> dead;
};
}

Test(upstreams, nothing_is_admitted_before_the_shares_have_settled)
{
    Fleet fleet(3);
    cr_assert_eq(fleet.admittedAtOnce(), 0);
    fleet.settle();
    cr_assert_eq(fleet.admittedAtOnce(), 1);
}

Test(upstreams, cold_upstream_gets_one_request_at_a_time_in_total)
{
    Fleet fleet(9);
    fleet.settle();
    cr_assert_eq(fleet.admittedAtOnce(), 1);
    fleet.endAll();
    fleet.warmUp();
    cr_assert_eq(fleet.admittedAtOnce(), 3);
    for (auto &vm : fleet.vms) {
        cr_assert_eq(vm->upstreams.state(kHost), UpstreamState::Ready);
    }
}

Test(upstreams, sign_of_cold_on_one_vm_returns_all_to_the_start)
{
    Fleet fleet(9);
    fleet.settle();
    fleet.warmUp();
    cr_assert_eq(fleet.admittedAtOnce(), 3);
    fleet.clock.advance(100ms);
    for (auto &vm : fleet.vms) {
        if (vm->upstreams.holders(kHost).front() == vm->membership.self()) {
            vm->upstreams.requestEnded(kHost, Observation::Cut, 50ms, fleet.clock.now());
        }
    }
    fleet.bus.deliverAll();
    fleet.endAll();
    cr_assert_eq(fleet.admittedAtOnce(), 1);
}

Test(upstreams, two_vms_probe_and_the_others_learn)
{
    Fleet fleet(9);
    fleet.settle();
    cr_assert_not_null(fleet.prober(1));
    cr_assert_null(fleet.prober(2));
    fleet.prober(0)->upstreams.probeAnswered(kHost, {.state = ReportedState::Shedding},
                                             fleet.clock.now());
    fleet.bus.deliverAll();
    for (auto &vm : fleet.vms) {
        cr_assert_eq(vm->upstreams.state(kHost), UpstreamState::Shedding);
    }
}

Test(upstreams, unchanged_state_is_not_published_again)
{
    Fleet fleet(3);
    fleet.settle();
    fleet.probeSeconds(10);
    for (auto &vm : fleet.vms) {
        vm->upstreams.tick(fleet.clock.now());
        vm->upstreams.probeAnswered(kHost, {.state = ReportedState::Ready}, fleet.clock.now());
    }
    cr_assert(fleet.bus.changed.empty());
}

Test(upstreams, death_of_both_probers_leaves_no_state_stuck)
{
    Fleet fleet(9);
    fleet.settle();
    std::vector<VmName> probers;
    for (std::size_t i = 0; i < 2; ++i) {
        Fleet::Vm *prober = fleet.prober(i);
        prober->upstreams.probeAnswered(kHost, {.state = ReportedState::Shedding},
                                        fleet.clock.now());
        probers.push_back(prober->membership.self());
    }
    fleet.bus.deliverAll();
    for (const VmName &prober : probers) {
        fleet.kill(prober);
    }
    fleet.step();
    fleet.probeSeconds(8);
    for (auto &vm : fleet.vms) {
        if (!fleet.isDead(*vm)) {
            cr_assert_eq(vm->upstreams.state(kHost), UpstreamState::Ready);
        }
    }
}

Test(upstreams, new_flows_to_a_cold_upstream_are_paced_in_total)
{
    Fleet fleet(9);
    fleet.settle();
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        fleet.clock.advance(1ms);
        for (auto &vm : fleet.vms) {
            admitted += vm->upstreams.admitFlow(kHost, fleet.clock.now()) ? 1 : 0;
        }
    }
    cr_assert_eq(admitted, 20);
}

Test(upstreams, connections_of_all_vms_stay_within_the_limit)
{
    Fleet fleet(9);
    fleet.settle();
    fleet.probeSeconds(20);
    int admitted = 0;
    for (auto &vm : fleet.vms) {
        while (vm->upstreams.admitFlow(kHost, fleet.clock.now())) {
            ++admitted;
        }
    }
    cr_assert_eq(admitted, 2000);
}

Test(upstreams, drained_or_taken_out_takes_nothing_and_comes_back_cold)
{
    Fleet fleet(3);
    fleet.settle();
    fleet.warmUp();
    for (const bool byDrain : {true, false}) {
        settings::Configuration changed = fleet.configuration;
        changed.generation = ++fleet.configuration.generation;
        changed.services[0].upstreams[0].drain = byDrain;
        changed.dataCentres[0].out = !byDrain;
        fleet.holder.accept(changed);
        cr_assert_eq(fleet.vms[0]->upstreams.state(kHost), UpstreamState::Leaving);
        cr_assert_eq(fleet.admittedAtOnce(), 0);
        cr_assert(!fleet.vms[0]->upstreams.admitFlow(kHost, fleet.clock.now()));
        ++fleet.configuration.generation;
        fleet.holder.accept(fleet.configuration);
        cr_assert_eq(fleet.vms[0]->upstreams.state(kHost), UpstreamState::Starting);
        cr_assert_eq(fleet.admittedAtOnce(), 1);
        fleet.endAll();
    }
}

Test(upstreams, transitions_stand_on_the_time_line_with_their_reason)
{
    Fleet fleet(1);
    fleet.settle();
    fleet.warmUp();
    fleet.vms[0]->upstreams.requestEnded(kHost, Observation::Refused, 1ms, fleet.clock.now());
    const telemetry::Event event = fleet.vms[0]->line.events().back();
    cr_assert_eq(event.kind, "upstream.state");
    cr_assert_eq(event.detail, "ready to gone");
    cr_assert_eq(event.reason, ResultCode::UpstreamGone);
}

Test(upstreams, vm_that_was_paused_uses_nothing_until_it_has_confirmed_again)
{
    Fleet fleet(1);
    fleet.settle();
    cr_assert_eq(fleet.admittedAtOnce(), 1);
    fleet.endAll();
    fleet.clock.advance(30s);
    cr_assert_eq(fleet.admittedAtOnce(), 0);
    fleet.settle();
    cr_assert_eq(fleet.admittedAtOnce(), 1);
}

Test(upstreams, any_view_of_who_is_alive_keeps_the_sum_within_the_host)
{
    cr_assert(rc::check([] {
        Fleet fleet(*rc::gen::inRange(1, 10));
        fleet.settle();
        const bool isWarm = *rc::gen::arbitrary<bool>();
        if (isWarm) {
            fleet.warmUp();
        }
        for (auto &vm : fleet.vms) {
            for (membership::Member &member : vm->membership.list) {
                member.state = *rc::gen::element(
                    membership::MemberState::Alive, membership::MemberState::Dead,
                    membership::MemberState::Suspect, membership::MemberState::Leaving);
            }
        }
        fleet.step();
        RC_ASSERT(fleet.admittedAtOnce() == (isWarm ? 3 : 1));
    }));
}

Test(upstreams, upstream_that_cannot_be_probed_counts_as_ready)
{
    Fleet fleet(3);
    settings::Configuration changed = fleet.configuration;
    ++changed.generation;
    changed.services[0].upstreams[0].http.port = 0;
    fleet.holder.accept(changed);
    fleet.settle();
    cr_assert_eq(fleet.vms[0]->upstreams.state(kHost), UpstreamState::Ready);
    cr_assert(fleet.vms[0]->upstreams.admitFlow(kHost, fleet.clock.now()));
    cr_assert(fleet.vms[0]->upstreams.admitFlow(kHost, fleet.clock.now()));
    cr_assert(!fleet.vms[0]->upstreams.admitRequest(kHost, fleet.clock.now()));
}
