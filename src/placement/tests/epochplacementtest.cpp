#include "placement/factkeys.h"
#include "placement/tests/placementfixture.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::placement;
using namespace radishladder::placement::fakes;

namespace {
constexpr std::uint8_t kTcp = 6;

//! A hash whose slot the newest of \a tables gives to \a wireId; position picks among such slots.
std::uint64_t hashOn(const EpochTable &table, std::uint64_t wireId)
{
    for (std::size_t slot = 0; slot < table.slots.size(); ++slot) {
        if (table.members[table.slots[slot]] == wireId) {
            return static_cast<std::uint64_t>(slot) << 32;
        }
    }
    return 0;
}

struct Fixture : PlacementFixture
{
    SlotView viewOf(std::size_t upstream)
    {
        const ServiceIndex service = *this->placement.find(ServiceName("portal"));
        return this->placement.view(service, this->hashOf(upstream));
    }
    std::uint64_t hashOf(std::size_t upstream)
    {
        return hashOn(this->first.tables.front(),
                      EpochPlacement::wireIdOf(this->original[upstream]));
    }
    std::string nameOf(UpstreamIndex index)
    {
        return this->placement.upstream(index).upstream.name.str();
    }
    void tick(std::chrono::seconds duration = std::chrono::seconds(0))
    {
        this->clock.advance(duration);
        this->placement.tick(this->clock.now());
    }

    std::vector<settings::Upstream> original = this->configuration.services[0].upstreams;
    EpochDocument first = this->firstDocument();
};
}

Test(epochplacement, service_is_found_once_it_has_an_epoch)
{
    Fixture f;
    cr_assert(!f.placement.service({0x7fc80001, 443}, kTcp).has_value());
    f.offer(f.first);
    cr_assert(f.placement.service({0x7fc80001, 443}, kTcp).has_value());
    cr_assert(!f.placement.service({0x7fc80001, 444}, kTcp).has_value());
    cr_assert(!f.viewOf(0).contested);
}

Test(epochplacement, records_may_arrive_before_the_first_document)
{
    Fixture f;
    const ServiceIndex service = *f.placement.find(ServiceName("portal"));
    cr_assert(f.viewOf(0).contested);
    cr_assert_eq(f.viewOf(0).current, kNoUpstream);
    f.placement.recordAdded(service, f.hashOf(0), 0);
    f.tick();
    f.placement.recordRemoved(service, f.hashOf(0), 0);
    f.offer(f.first);
    f.tick();
    cr_assert(!f.viewOf(0).contested);
}

Test(epochplacement, announced_table_makes_slots_contested_but_places_nothing)
{
    Fixture f;
    f.offer(f.first);
    EpochDocument next = f.first;
    next.tables.push_back(carrySlots(next.tables.back(), f.weighted(3)));
    next.newestActive = false;
    f.offer(next);
    const SlotView announced = f.viewOf(3);
    cr_assert(announced.contested && !announced.settled);
    cr_assert_eq(f.nameOf(announced.current), std::string("h3"));
    next.newestActive = true;
    f.offer(next);
    const SlotView active = f.viewOf(3);
    cr_assert(active.contested && active.settled);
    cr_assert_eq(f.nameOf(active.oldest), std::string("h3"));
    cr_assert_neq(f.nameOf(active.current), std::string("h3"));
    cr_assert(!f.viewOf(0).contested, "a slot that did not move is not contested");
}

Test(epochplacement, slot_that_changes_twice_keeps_its_oldest)
{
    Fixture f;
    EpochDocument document = f.first;
    for (const std::size_t count : {3, 2, 4}) {
        document.tables.push_back(carrySlots(document.tables.back(), f.weighted(count)));
    }
    f.offer(document);
    const SlotView view = f.viewOf(3);
    cr_assert(view.contested && view.settled);
    cr_assert_eq(f.nameOf(view.oldest), std::string("h3"));
    document.tables.erase(document.tables.begin(), document.tables.end() - 1);
    f.offer(document);
    cr_assert(!f.viewOf(3).contested);
}

Test(epochplacement, older_documents_change_nothing)
{
    Fixture f;
    EpochDocument next = f.first;
    next.tables.push_back(carrySlots(next.tables.back(), f.weighted(3)));
    f.offer(next);
    f.offer(f.first);
    cr_assert(f.viewOf(3).contested);
}

Test(epochplacement, drained_upstream_is_marked_and_settles_when_all_know)
{
    Fixture f;
    f.offer(f.first);
    f.upstream(1).drain = true;
    f.change();
    cr_assert(
        f.facts.facts.contains({markKey(EpochPlacement::wireIdOf(f.original[1])), VmName("vm-a")}));
    f.tick();
    cr_assert(f.viewOf(1).contested && !f.viewOf(1).settled);
    f.facts.confirmed = true;
    f.tick();
    cr_assert(f.viewOf(1).settled);
    cr_assert(!f.viewOf(0).contested);
    std::vector<UpstreamIndex> alternatives;
    f.placement.alternatives(*f.placement.find(ServiceName("portal")), f.hashOf(1), alternatives);
    cr_assert_eq(alternatives.size(), 3);
}

Test(epochplacement, mark_of_another_vm_is_enough)
{
    Fixture f;
    f.offer(f.first);
    const std::string key = markKey(EpochPlacement::wireIdOf(f.original[2]));
    f.facts.state(VmName("vm-b"), key, membership::ISharedFacts::Value());
    cr_assert(f.viewOf(2).contested && !f.viewOf(2).settled);
    f.facts.state(VmName("vm-b"), key, std::nullopt);
    cr_assert(!f.viewOf(2).contested);
}

Test(epochplacement, mark_stays_while_a_flow_is_off_the_table)
{
    Fixture f;
    f.offer(f.first);
    const ServiceIndex service = *f.placement.find(ServiceName("portal"));
    const UpstreamIndex elsewhere = f.viewOf(0).current;
    f.upstreams.turn(UpstreamName("h2"), upstreams::UpstreamState::Starting);
    f.tick();
    cr_assert(!f.viewOf(2).contested,
              "a VM that has just started must not contest what others know to be ready");
    f.tick(std::chrono::seconds(3));
    cr_assert(f.viewOf(2).contested);
    f.placement.recordAdded(service, f.hashOf(2), elsewhere);
    f.placement.recordAdded(service, f.hashOf(1), f.viewOf(1).current);
    f.upstreams.turn(UpstreamName("h2"), upstreams::UpstreamState::Ready);
    f.tick();
    cr_assert(f.viewOf(2).contested, "a flow of this slot is elsewhere");
    cr_assert(!f.viewOf(1).contested, "a record on the table contests nothing");
    f.placement.recordRemoved(service, f.hashOf(2), elsewhere);
    f.tick();
    cr_assert(!f.viewOf(2).contested);
}

Test(epochplacement, releases_the_oldest_table_after_the_idle_limit)
{
    Fixture f;
    f.tick();
    EpochDocument document = f.first;
    document.tables.push_back(carrySlots(document.tables.back(), f.weighted(3)));
    f.offer(document);
    const ServiceIndex service = *f.placement.find(ServiceName("portal"));
    const auto released = [&f] {
        return f.facts.value(VmName("vm-a"), releasedKey(ServiceName("portal")));
    };
    f.tick(std::chrono::seconds(50));
    f.placement.noteOldestUsed(service, f.clock.now());
    f.tick(std::chrono::seconds(50));
    cr_assert(!released().has_value(), "used 50 s ago");
    f.placement.recordAdded(service, f.hashOf(3), f.viewOf(3).oldest);
    f.tick(std::chrono::seconds(50));
    cr_assert(!released().has_value(), "a record would be off the remaining table");
    f.placement.recordRemoved(service, f.hashOf(3), f.viewOf(3).oldest);
    f.tick();
    cr_assert(released().has_value());
}

Test(epochplacement, upstream_dropped_from_the_configuration_is_known_from_the_document)
{
    Fixture f;
    f.configuration.services[0].upstreams.pop_back();
    f.change();
    f.offer(f.first);
    const SlotView view = f.viewOf(3);
    cr_assert_neq(view.current, kNoUpstream);
    cr_assert(f.placement.upstream(view.current).upstream.tunnel == f.original[3].tunnel);
    cr_assert(!f.placement.upstream(view.current).configured);
}

Test(epochplacement, data_centre_out_is_visible_and_contested)
{
    Fixture f;
    f.offer(f.first);
    f.configuration.dataCentres[1].out = true;
    f.change();
    cr_assert(f.viewOf(3).contested);
    cr_assert(f.placement.upstream(f.viewOf(3).current).dataCentreOut);
    cr_assert(!f.viewOf(0).contested);
}
