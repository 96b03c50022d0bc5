#include "distribution/relaychoice.h"
#include "restart.h"
#include "testdatacentre.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
using std::chrono::milliseconds;

struct Fault
{
    const char *name;
    void (*begin)(TestDataCentre &, std::size_t relay);
};

constexpr Fault kFaults[] = {
    {"none", [](TestDataCentre &, std::size_t) {}},
    {"cut off from the store",
     [](TestDataCentre &dataCentre, std::size_t relay) {
         dataCentre.vms[relay]->link.isCut = true;
     }},
    {"paused",
     [](TestDataCentre &dataCentre, std::size_t relay) { dataCentre.vms[relay]->isPaused = true; }},
    {"restarted while cut off",
     [](TestDataCentre &dataCentre, std::size_t relay) { restart(dataCentre, relay, true); }},
};

std::vector<std::size_t> relaysOf(TestDataCentre &dataCentre)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < dataCentre.names.size(); ++i) {
        if (isRelay(dataCentre.names[i], dataCentre)) {
            found.push_back(i);
        }
    }
    return found;
}

//! Returns the number of VMs that are in touch and have not received \a value.
int lateVms(TestDataCentre &dataCentre, const std::string &value)
{
    int late = 0;
    for (const auto &vm : dataCentre.vms) {
        const bool isAffected = vm->isPaused || vm->link.isCut;
        late += !isAffected && vm->values["up/a"] != value ? 1 : 0;
    }
    return late;
}

std::uint64_t callsOf(const TestDataCentre &dataCentre)
{
    std::uint64_t sum = 0;
    for (const auto &vm : dataCentre.vms) {
        sum += vm->link.calls;
    }
    return sum;
}
}

namespace {
//! Order of two changes and the failure of relays.
struct Moment
{
    milliseconds limit;

    //! Distance of the first change from the renewals and watches of the relays.
    milliseconds phase;

    //! The second change follows the first one, and the failure follows the second change, within
    //! the pause of the relays.
    milliseconds betweenChanges;
    milliseconds untilFault;
};

int lateVmsAfter(const Moment &moment, const Fault &fault, std::size_t failing)
{
    TestDataCentre dataCentre(8, {}, moment.limit);
    dataCentre.loop.advance(moment.phase);
    dataCentre.store.put("up/a", "1");
    dataCentre.loop.advance(moment.betweenChanges);
    dataCentre.store.put("up/a", "2");
    dataCentre.loop.advance(moment.untilFault);
    const auto relays = relaysOf(dataCentre);
    for (std::size_t i = 0; i < failing; ++i) {
        fault.begin(dataCentre, relays.at(i));
    }
    dataCentre.loop.advance(moment.limit - moment.untilFault);
    return lateVms(dataCentre, "2");
}
}

Test(relaydelay, changes_arrive_within_the_limit_whenever_relays_fail)
{
    // Guards against a draining upstream that gets new flows for longer than its limit: a change
    // falls into the pause of a relay, which then loses the store and goes on to report that
    // nothing has changed.
    constexpr milliseconds kPhaseStep{150};
    constexpr milliseconds kFaultStep{50};
    constexpr milliseconds kRenewInterval{2000};
    for (const milliseconds limit : {3000ms, 5000ms}) {
        for (const Fault &fault : kFaults) {
            for (const std::size_t failing : {1U, 2U}) {
                for (milliseconds phase{0}; phase <= kRenewInterval; phase += kPhaseStep) {
                    for (milliseconds untilFault{0}; untilFault <= limit * 2 / 5;
                         untilFault += kFaultStep) {
                        const Moment moment{limit, phase, 200ms, untilFault};
                        cr_assert_eq(lateVmsAfter(moment, fault, failing), 0,
                                     "%s: %zu relays, limit %ld ms, phase %ld ms, fault %ld ms "
                                     "after the change",
                                     fault.name, failing, limit.count(), phase.count(),
                                     untilFault.count());
                    }
                }
            }
        }
    }
}

Test(relaydelay, a_relay_that_fails_brings_its_peers_to_the_other_relay)
{
    // Load pattern: a relay is cut off, and all VMs of the data centre would call the store in the
    // same moment.
    for (const Fault &fault : kFaults) {
        TestDataCentre dataCentre(30, {}, 5000ms);
        fault.begin(dataCentre, relaysOf(dataCentre).front());
        const std::uint64_t before = callsOf(dataCentre);
        dataCentre.loop.advance(10s);
        // A relay watches every two and a half seconds.
        cr_expect_leq(callsOf(dataCentre) - before, 20U, "%s: %lu calls", fault.name,
                      callsOf(dataCentre) - before);
    }
}

Test(relaydelay, followers_stay_with_relays_that_work)
{
    // The data of a relay is oldest at the end of each pause.
    for (const milliseconds limit : {1700ms, 2000ms, 3000ms, 5000ms, 6000ms}) {
        for (const milliseconds interval : {70ms, 400ms, 1100ms, 3100ms}) {
            TestDataCentre dataCentre(20, {}, limit);
            for (std::size_t i = 0; i < dataCentre.vms.size(); ++i) {
                dataCentre.vms[i]->link.calls = 0;
            }
            for (int i = 0; i < 100; ++i) {
                dataCentre.store.put("up/a", std::to_string(i));
                dataCentre.loop.advance(interval);
            }
            for (std::size_t i = 0; i < dataCentre.vms.size(); ++i) {
                if (!isRelay(dataCentre.names[i], dataCentre)) {
                    cr_expect_eq(dataCentre.vms[i]->link.calls, 0U,
                                 "limit %ld ms, a change each %ld ms: %lu calls of a follower",
                                 limit.count(), interval.count(), dataCentre.vms[i]->link.calls);
                }
            }
        }
    }
}
