#include "placement/epochmaker.h"
#include "placement/factkeys.h"
#include "placement/tests/placementfixture.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::placement;
using namespace radishladder::placement::fakes;

namespace {
struct Fixture : PlacementFixture
{
    Fixture()
    {
        membership::Member other;
        other.name = VmName("vm-b");
        membership::Member own;
        own.name = VmName("vm-a");
        this->membership.all = {own, other};
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration;
             passed += std::chrono::milliseconds(250)) {
            this->clock.advance(std::chrono::milliseconds(250));
            this->maker.tick(this->clock.now());
        }
    }

    EpochDocument stored()
    {
        const auto found = this->store.values.find(std::string(store::kEpochPrefix) + "portal");
        return found == this->store.values.end() ? EpochDocument()
                                                 : *EpochCodec().decode(found->second.value);
    }

    void drain(std::size_t index)
    {
        this->upstream(index).drain = true;
        this->change();
    }

    //! Every VM says that it needs no table up to \a epoch any more.
    void release(std::uint8_t epoch)
    {
        for (const char *vm : {"vm-a", "vm-b"}) {
            this->facts.state(VmName(vm), releasedKey(ServiceName("portal")),
                              membership::ISharedFacts::Value{epoch});
        }
    }

    EpochMaker maker{this->holder, this->feed,      this->store,   this->membership,
                     this->facts,  this->upstreams, this->timeLine};
};

constexpr std::chrono::seconds kShort{2};
constexpr std::chrono::seconds kLong{15};
}

Test(epochmaker, first_epoch_is_active_at_once)
{
    Fixture f;
    f.run(kShort);
    cr_assert_eq(f.stored().tables.size(), 1);
    cr_assert(f.stored().newestActive);
    cr_assert_eq(f.store.writes, 1, "nothing more to do");
}

Test(epochmaker, a_drain_is_announced_and_active_only_when_all_know)
{
    Fixture f;
    f.run(kShort);
    f.drain(0);
    f.run(kShort);
    cr_assert_eq(f.stored().tables.size(), 2);
    cr_assert(!f.stored().newestActive, "vm-b has not confirmed the announcement");
    f.membership.knownRevision = f.store.revision;
    f.run(kShort);
    cr_assert(f.stored().newestActive);
    cr_assert_eq(f.stored().tables.back().members.size(), 3);
    cr_assert_eq(f.stored().members.size(), 4,
                 "the drained upstream stays described while a table names it");
}

Test(epochmaker, oldest_table_goes_only_when_every_vm_released_it)
{
    Fixture f;
    f.run(kShort);
    f.drain(0);
    f.run(kShort);
    f.membership.knownRevision = 1000;
    f.run(kShort);
    f.facts.state(VmName("vm-a"), releasedKey(ServiceName("portal")),
                  membership::ISharedFacts::Value{1});
    f.run(kLong);
    cr_assert_eq(f.stored().tables.size(), 2, "vm-b still needs it");
    f.release(1);
    f.run(kShort);
    cr_assert_eq(f.stored().tables.size(), 1);
    cr_assert_eq(f.stored().members.size(), 3);
}

Test(epochmaker, lost_answer_is_settled_by_reading_back)
{
    Fixture f;
    f.store.mode = FakeStore::Mode::LoseAnswers;
    f.run(kLong);
    cr_assert_eq(f.store.writes, 1, "written once, not again");
    cr_assert(f.feed.find(std::string(store::kEpochPrefix) + "portal").has_value());
}

Test(epochmaker, two_vms_that_both_rank_first_do_not_harm)
{
    Fixture f;
    EpochMaker rival(f.holder, f.feed, f.store, f.membership, f.facts, f.upstreams, f.timeLine);
    for (int i = 0; i < 20; ++i) {
        f.clock.advance(std::chrono::milliseconds(250));
        rival.tick(f.clock.now());
        f.maker.tick(f.clock.now());
    }
    cr_assert_eq(f.store.writes, 1);
    cr_assert_eq(f.stored().tables.size(), 1);
}

Test(epochmaker, store_down_means_no_epoch_and_work_goes_on_after)
{
    Fixture f;
    f.run(kShort);
    f.membership.knownRevision = 1000;
    f.store.mode = FakeStore::Mode::Down;
    f.drain(0);
    f.run(kLong);
    cr_assert_eq(f.stored().tables.size(), 1);
    f.store.mode = FakeStore::Mode::Up;
    f.run(kLong);
    cr_assert_eq(f.stored().tables.back().members.size(), 3);
}

struct IdleCase
{
    bool confident;
    bool first;
};

Test(epochmaker, writes_nothing_when_not_confident_or_not_first)
{
    for (const IdleCase &row : {IdleCase{false, true}, IdleCase{true, false}}) {
        Fixture f;
        f.membership.confident = row.confident;
        f.membership.first = VmName(row.first ? "vm-a" : "vm-b");
        f.run(kLong);
        cr_assert_eq(f.store.writes, 0);
    }
}

Test(epochmaker, lost_upstream_leaves_the_table_unless_frozen)
{
    for (const bool freeze : {false, true}) {
        Fixture f;
        f.membership.knownRevision = 1000;
        f.configuration.freeze = freeze;
        f.change();
        f.run(kShort);
        f.upstreams.turn(UpstreamName("h1"), upstreams::UpstreamState::Gone);
        f.run(kLong);
        cr_assert_eq(f.stored().tables.back().members.size(), freeze ? 4 : 3);
        // An operator's own change goes on under freeze.
        f.drain(0);
        f.run(kShort);
        cr_assert_eq(f.stored().tables.back().members.size(), freeze ? 3 : 2);
    }
}

Test(epochmaker, freezing_brings_no_lost_upstream_back)
{
    Fixture f;
    f.membership.knownRevision = 1000;
    f.run(kShort);
    f.upstreams.turn(UpstreamName("h1"), upstreams::UpstreamState::Gone);
    f.run(kLong);
    f.configuration.freeze = true;
    f.change();
    f.upstreams.turn(UpstreamName("h1"), upstreams::UpstreamState::Ready);
    f.run(kLong);
    cr_assert_eq(f.stored().tables.back().members.size(), 3);
    f.configuration.freeze = false;
    f.change();
    f.run(kLong);
    cr_assert_eq(f.stored().tables.back().members.size(), 4);
}

Test(epochmaker, nothing_left_keeps_the_last_table)
{
    Fixture f;
    f.membership.knownRevision = 1000;
    f.run(kShort);
    for (std::size_t i = 0; i < 4; ++i) {
        f.upstream(i).drain = true;
    }
    f.change();
    f.run(kLong);
    cr_assert_eq(f.stored().tables.size(), 1);
    cr_assert_eq(f.stored().tables.back().members.size(), 4);
}
