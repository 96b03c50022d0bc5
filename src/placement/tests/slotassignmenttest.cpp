#include "placement/slotassignment.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace radishladder::placement;

namespace {
std::vector<WeightedMember> equalMembers(std::size_t count)
{
    std::vector<WeightedMember> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({0x1000 + i * 77, 100});
    }
    return members;
}

std::map<std::uint64_t, std::size_t> slotsByMember(const EpochTable &table)
{
    std::map<std::uint64_t, std::size_t> counts;
    for (const std::uint16_t slot : table.slots) {
        ++counts[table.members[slot]];
    }
    return counts;
}

std::size_t movedSlots(const EpochTable &before, const EpochTable &after)
{
    std::size_t moved = 0;
    for (std::size_t slot = 0; slot < after.slots.size(); ++slot) {
        const std::uint64_t old = before.members[before.slots[slot % before.slots.size()]];
        moved += old == after.members[after.slots[slot]] ? 0 : 1;
    }
    return moved;
}
}

Test(slotassignment, equal_weights_differ_by_one_slot_at_most)
{
    cr_assert(rc::check([] {
        const auto members = equalMembers(*rc::gen::inRange<std::size_t>(1, 200));
        const auto counts = slotsByMember(carrySlots({}, members));
        const auto [least, most] =
            std::ranges::minmax_element(counts, {}, [](const auto &entry) { return entry.second; });
        RC_ASSERT(counts.size() == members.size());
        RC_ASSERT(most->second - least->second <= 1);
    }));
}

Test(slotassignment, slots_follow_weights)
{
    std::vector<WeightedMember> members = equalMembers(4);
    members[0].weight = 300;
    const EpochTable table = carrySlots({}, members);
    const auto counts = slotsByMember(table);
    cr_assert_eq(counts.at(members[0].wireId), table.slots.size() / 2);
}

Test(slotassignment, only_the_slots_that_must_move_do)
{
    cr_assert(rc::check([] {
        const std::size_t count = *rc::gen::inRange<std::size_t>(2, 60);
        auto members = equalMembers(count);
        const EpochTable before = carrySlots({}, members);
        const auto held = slotsByMember(before);
        const std::size_t leaver = *rc::gen::inRange<std::size_t>(0, count);
        const std::uint64_t gone = members[leaver].wireId;
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(leaver));
        const EpochTable without = carrySlots(before, members);
        RC_ASSERT(movedSlots(before, without) == held.at(gone));
        // Back again: it takes its share and nobody else exchanges slots.
        members.push_back({gone, 100});
        const EpochTable again = carrySlots(without, members);
        RC_ASSERT(movedSlots(without, again) == slotsByMember(again).at(gone));
    }));
}

Test(slotassignment, growing_the_table_moves_only_what_new_members_get)
{
    const auto few = equalMembers(4);
    const auto many = equalMembers(40);
    const EpochTable small = carrySlots({}, few);
    const EpochTable large = carrySlots(small, many);
    cr_assert(large.slots.size() > small.slots.size());
    std::size_t kept = 0;
    for (const auto &[wireId, count] : slotsByMember(large)) {
        const bool isOld = std::ranges::find(few, wireId, &WeightedMember::wireId) != few.end();
        kept += isOld ? count : 0;
    }
    cr_assert_eq(large.slots.size() - movedSlots(small, large), kept);
}
