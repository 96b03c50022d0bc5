#include "placement/slotassignment.h"

#include "global/hash.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <numeric>
#include <unordered_map>

namespace radishladder::placement {
namespace {
constexpr std::size_t kSlotsPerMember = 64;
constexpr std::size_t kFewestSlots = 256;
constexpr std::uint16_t kFree = 0xffff;

std::uint64_t score(std::size_t slot, std::uint64_t wireId)
{
    std::uint8_t bytes[sizeof wireId];
    std::memcpy(bytes, &wireId, sizeof wireId);
    return hash64(bytes, slot);
}

//! Slots due to each member: by weight, the rest to the largest remainders.
std::vector<std::size_t> quotas(std::span<const WeightedMember> members, std::size_t slots)
{
    std::uint64_t total = 0;
    for (const WeightedMember &member : members) {
        total += static_cast<std::uint64_t>(member.weight);
    }
    std::vector<std::size_t> quota(members.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> remainders;
    std::size_t given = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::uint64_t share = slots * static_cast<std::uint64_t>(members[i].weight);
        quota[i] = share / total;
        given += quota[i];
        remainders.emplace_back(total - share % total, i);
    }
    std::ranges::sort(remainders);
    for (std::size_t i = 0; given < slots; ++i, ++given) {
        ++quota[remainders[i].second];
    }
    return quota;
}

//! Slots of \a previous in terms of the new members; a larger table repeats the smaller one, which
//! moves nothing.
std::vector<std::uint16_t> carriedOwners(const EpochTable &previous,
                                         std::span<const WeightedMember> members, std::size_t slots)
{
    std::vector<std::uint16_t> owners(slots, kFree);
    if (previous.slots.empty()) {
        return owners;
    }
    std::unordered_map<std::uint64_t, std::uint16_t> positions;
    for (std::size_t i = 0; i < members.size(); ++i) {
        positions[members[i].wireId] = static_cast<std::uint16_t>(i);
    }
    for (std::size_t slot = 0; slot < slots; ++slot) {
        const std::uint16_t old = previous.slots[slot % previous.slots.size()];
        const auto found = positions.find(previous.members[old]);
        owners[slot] = found == positions.end() ? kFree : found->second;
    }
    return owners;
}

//! Takes slots from members that hold more than their quota.
void releaseSurplus(std::vector<std::uint16_t> &owners, std::span<const WeightedMember> members,
                    std::vector<std::size_t> &room)
{
    std::vector<std::vector<std::size_t>> held(members.size());
    for (std::size_t slot = 0; slot < owners.size(); ++slot) {
        if (owners[slot] != kFree) {
            held[owners[slot]].push_back(slot);
        }
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::size_t kept = std::min(held[i].size(), room[i]);
        std::ranges::sort(held[i], std::greater<>(),
                          [&](std::size_t slot) { return score(slot, members[i].wireId); });
        for (std::size_t k = kept; k < held[i].size(); ++k) {
            owners[held[i][k]] = kFree;
        }
        room[i] -= kept;
    }
}

std::size_t bestWithRoom(std::size_t slot, std::span<const WeightedMember> members,
                         const std::vector<std::size_t> &room)
{
    std::size_t best = members.size();
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::uint64_t candidate = score(slot, members[i].wireId);
        if (room[i] > 0 && (best == members.size() || candidate > bestScore)) {
            best = i;
            bestScore = candidate;
        }
    }
    return best;
}
}

std::size_t slotCount(std::size_t members)
{
    return std::clamp(std::bit_ceil(members * kSlotsPerMember), kFewestSlots,
                      std::size_t{kMostSlots});
}

EpochTable carrySlots(const EpochTable &previous, std::span<const WeightedMember> members)
{
    EpochTable table{.epoch = previous.epoch + 1};
    if (members.empty()) {
        return table;
    }
    // A table never shrinks: halving it would move slots.
    const std::size_t slots = std::max(slotCount(members.size()), previous.slots.size());
    std::vector<std::size_t> room = quotas(members, slots);
    table.slots = carriedOwners(previous, members, slots);
    releaseSurplus(table.slots, members, room);
    for (std::size_t slot = 0; slot < slots; ++slot) {
        if (table.slots[slot] == kFree) {
            const std::size_t owner = bestWithRoom(slot, members, room);
            table.slots[slot] = static_cast<std::uint16_t>(owner);
            --room[owner];
        }
    }
    for (const WeightedMember &member : members) {
        table.members.push_back(member.wireId);
    }
    return table;
}
}
