#include "global/hash.h"
#include "placement/slotassignment.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <json/value.h>
#include <map>

// Compares three ways to build slot tables: weighted rendezvous, Maglev permutations, and the
// carried tables in use.

using radishladder::hash64;
using radishladder::placement::carrySlots;
using radishladder::placement::EpochTable;
using radishladder::placement::slotCount;
using radishladder::placement::WeightedMember;

namespace {
using Members = std::vector<WeightedMember>;
using Builder = std::function<EpochTable(const EpochTable &previous, const Members &members)>;

constexpr int kRuns = 20;

std::uint64_t mixed(std::uint64_t first, std::uint64_t second)
{
    return hash64(std::to_string(first), second);
}

EpochTable rendezvous(const Members &members, std::size_t slots)
{
    EpochTable table;
    for (const WeightedMember &member : members) {
        table.members.push_back(member.wireId);
    }
    for (std::size_t slot = 0; slot < slots; ++slot) {
        const auto best =
            std::ranges::max_element(members, {}, [slot](const WeightedMember &member) {
                return mixed(member.wireId, slot);
            });
        table.slots.push_back(static_cast<std::uint16_t>(best - members.begin()));
    }
    return table;
}

EpochTable maglev(const Members &members, std::size_t slots)
{
    EpochTable table;
    std::vector<std::size_t> next(members.size(), 0);
    constexpr std::uint16_t kFree = 0xffff;
    table.slots.assign(slots, kFree);
    for (const WeightedMember &member : members) {
        table.members.push_back(member.wireId);
    }
    std::size_t filled = 0;
    for (std::size_t turn = 0; filled < slots; turn = (turn + 1) % members.size()) {
        const std::size_t offset = mixed(members[turn].wireId, 1) % slots;
        // An odd step visits every slot of a table whose size is a power of two.
        const std::size_t step = (mixed(members[turn].wireId, 2) % slots) | 1;
        std::size_t slot = 0;
        do {
            slot = (offset + next[turn]++ * step) % slots;
        } while (table.slots[slot] != kFree);
        table.slots[slot] = static_cast<std::uint16_t>(turn);
        ++filled;
    }
    return table;
}

double imbalance(const EpochTable &table)
{
    std::map<std::uint16_t, int> counts;
    int most = 0;
    for (const std::uint16_t slot : table.slots) {
        most = std::max(most, ++counts[slot]);
    }
    return most * static_cast<double>(table.members.size())
        / static_cast<double>(table.slots.size());
}

double movedShare(const EpochTable &before, const EpochTable &after)
{
    std::size_t moved = 0;
    for (std::size_t slot = 0; slot < after.slots.size(); ++slot) {
        const auto old = before.members[before.slots[slot % before.slots.size()]];
        moved += old == after.members[after.slots[slot]] ? 0 : 1;
    }
    return static_cast<double>(moved) / static_cast<double>(after.slots.size());
}

Json::Value measure(const std::string &name, std::size_t count, std::size_t slots,
                    const Builder &build)
{
    double worst = 0;
    double moved = 0;
    for (int run = 0; run < kRuns; ++run) {
        Members members;
        for (std::size_t i = 0; i < count; ++i) {
            members.push_back({mixed(i, static_cast<std::uint64_t>(run) + 100), 1});
        }
        const EpochTable before = build({}, members);
        worst = std::max(worst, imbalance(before));
        members.erase(members.begin() + run % static_cast<int>(count));
        const EpochTable after = build(before, members);
        worst = std::max(worst, imbalance(after));
        moved += movedShare(before, after) / kRuns;
    }
    Json::Value row(Json::objectValue);
    row["way"] = name;
    row["upstreams"] = static_cast<Json::UInt64>(count);
    row["slots"] = static_cast<Json::UInt64>(slots);
    row["worst_imbalance"] = worst;
    row["moved_share"] = moved;
    row["least_possible_moved_share"] = 1.0 / static_cast<double>(count);
    return row;
}
}

int main()
{
    Json::Value rows(Json::arrayValue);
    for (const std::size_t count : {4U, 14U, 19U, 100U}) {
        const std::size_t slots = slotCount(count);
        const std::size_t many = slots * 16;
        for (const std::size_t size : {slots, many}) {
            rows.append(
                measure("rendezvous", count, size, [size](const EpochTable &, const Members &m) {
                    return rendezvous(m, size);
                }));
            rows.append(
                measure("maglev", count, size,
                        [size](const EpochTable &, const Members &m) { return maglev(m, size); }));
        }
        rows.append(
            measure("carried", count, slots, [](const EpochTable &previous, const Members &m) {
                return carrySlots(previous, m);
            }));
    }
    std::cout << rows.toStyledString();
    return 0;
}
