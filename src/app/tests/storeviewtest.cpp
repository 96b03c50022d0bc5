#include "viewfleet.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::app;
using namespace std::chrono_literals;

namespace {
using std::chrono::milliseconds;

constexpr std::uint64_t kUpstream = 7;
constexpr std::uint64_t kOtherUpstream = 8;
constexpr int kColdMs = 2000;

const std::string kEvacuation = platform::evacuationKey("a");

//! A fleet with one route and two warm upstreams.
std::unique_ptr<ViewFleet> startedFleet(int vms)
{
    auto fleet = std::make_unique<ViewFleet>(vms);
    fleet->store.put(platform::configurationKey(),
                     platform::configurationValue(1, {{{1, 80}, "portal"}}));
    fleet->publishUpstream(kUpstream, 0);
    fleet->publishUpstream(kOtherUpstream, 0);
    fleet->loop.advance(12s);
    return fleet;
}

//! Returns true if the VM would open flows to the upstream as to a warm one.
bool usesAsWarm(const ViewFleet::View &view, std::chrono::steady_clock::time_point now)
{
    const upstreams::UpstreamRecord *record = view.registry.find({kUpstream});
    return !view.routes.isEvacuated(DataCentreName("a")) && record != nullptr
        && !record->isCold(now);
}

int countWarm(const ViewFleet &fleet)
{
    int count = 0;
    for (const auto &view : fleet.views) {
        count += usesAsWarm(*view, fleet.clock.now()) ? 1 : 0;
    }
    return count;
}

int countEvacuated(const ViewFleet &fleet)
{
    int count = 0;
    for (const auto &view : fleet.views) {
        count += view->routes.isEvacuated(DataCentreName("a")) ? 1 : 0;
    }
    return count;
}
}

Test(storeview, no_data_centre_returns_before_its_cold_upstreams_are_known)
{
    // Guards against cold upstreams that get the flows of warm ones: the end of an evacuation
    // arrives over another watch than the entries that were written before it, which waits longer.
    for (const int vms : {2, 8}) {
        for (milliseconds pause{0}; pause <= 1500ms; pause += 50ms) {
            const auto fleet = startedFleet(vms);
            fleet->store.put(kEvacuation, "{}");
            fleet->loop.advance(3s);
            cr_assert_eq(countEvacuated(*fleet), vms);
            // Another change, after which watches of upstreams pause.
            fleet->publishUpstream(kOtherUpstream, 1);
            fleet->loop.advance(pause);
            fleet->publishUpstream(kUpstream, kColdMs);
            fleet->store.remove(kEvacuation);
            for (milliseconds passed{0}; passed < 1500ms; passed += 2ms) {
                fleet->loop.advance(2ms);
                cr_assert_eq(countWarm(*fleet), 0,
                             "%d VMs, %ld ms after another change, after %ld ms", vms,
                             pause.count(), passed.count());
            }
            cr_assert_eq(countEvacuated(*fleet), 0, "%d VMs, %ld ms", vms, pause.count());
        }
    }
}

Test(storeview, a_data_centre_returns_soon_also_if_no_upstream_changes)
{
    for (const int vms : {2, 8}) {
        const auto fleet = startedFleet(vms);
        fleet->store.put(kEvacuation, "{}");
        fleet->loop.advance(3s);
        fleet->store.remove(kEvacuation);
        fleet->loop.advance(100ms);
        cr_expect_eq(countEvacuated(*fleet), 0, "%d VMs", vms);
    }
}

Test(storeview, an_evacuation_that_begins_again_is_not_ended_by_the_earlier_end)
{
    for (milliseconds between{0}; between <= 40ms; between += 2ms) {
        const auto fleet = startedFleet(2);
        fleet->store.put(kEvacuation, "{}");
        fleet->loop.advance(3s);
        fleet->store.remove(kEvacuation);
        fleet->loop.advance(between);
        fleet->store.put(kEvacuation, "{}");
        fleet->loop.advance(3s);
        cr_expect_eq(countEvacuated(*fleet), 2, "%ld ms", between.count());
    }
}

Test(storeview, upstreams_that_turn_cold_are_known_at_once_where_warm_ups_are_limited)
{
    // Guards against the flows of warm upstreams on one that has started again under its
    // identifier, with no evacuation.
    for (const int vms : {2, 8}) {
        for (milliseconds pause{0}; pause <= 1500ms; pause += 50ms) {
            const auto fleet = startedFleet(vms);
            fleet->publishUpstream(kOtherUpstream, 1);
            fleet->loop.advance(pause);
            fleet->publishUpstream(kUpstream, kColdMs);
            fleet->loop.advance(30ms);
            cr_expect_eq(countWarm(*fleet), 0, "%d VMs, %ld ms after another change", vms,
                         pause.count());
        }
    }
}

Test(storeview, a_vm_knows_the_members_when_their_list_is_reported)
{
    // Load pattern: a whole fleet starts again, and the store is slow for a moment. A VM that takes
    // itself for the only one in its data centre would list all others and send requests to them.
    for (const auto storeDelay : {2ms, 20ms, 200ms}) {
        const auto fleet = startedFleet(8);
        fleet->storeDelay = storeDelay;
        ViewFleet::View &starting = fleet->add();
        fleet->loop.advance(2s);
        cr_expect_geq(starting.listedMembers, 8U, "%ld ms: %zu", storeDelay.count(),
                      starting.listedMembers);
    }
}

Test(storeview, a_vm_that_starts_knows_the_upstreams_as_of_the_configuration)
{
    // Guards against a listing of the upstreams by a relay that is older than the listing of the
    // evacuated data centres.
    for (milliseconds pause{0}; pause <= 400ms; pause += 20ms) {
        const auto fleet = startedFleet(8);
        fleet->store.put(kEvacuation, "{}");
        fleet->loop.advance(3s);
        ViewFleet::View &starting = fleet->add();
        fleet->publishUpstream(kOtherUpstream, 1);
        fleet->loop.advance(pause);
        fleet->publishUpstream(kUpstream, kColdMs);
        fleet->store.remove(kEvacuation);
        int warmFor = 0;
        for (milliseconds passed{0}; passed < 1000ms; passed += 2ms) {
            fleet->loop.advance(2ms);
            warmFor += usesAsWarm(starting, fleet->clock.now()) ? 2 : 0;
        }
        // One call to the store.
        cr_expect_leq(warmFor, 10, "%ld ms: as warm for %d ms", pause.count(), warmFor);
    }
}
