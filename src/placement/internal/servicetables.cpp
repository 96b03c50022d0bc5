#include "placement/internal/servicetables.h"

#include <algorithm>

namespace radishladder::placement {
namespace {
std::vector<UpstreamIndex> expanded(const EpochTable &table, std::size_t slots,
                                    const ServiceTables::Resolve &resolve)
{
    std::vector<UpstreamIndex> upstreams(slots, kNoUpstream);
    if (table.slots.empty()) {
        return upstreams;
    }
    std::vector<UpstreamIndex> members;
    for (const std::uint64_t wireId : table.members) {
        members.push_back(resolve(wireId));
    }
    for (std::size_t slot = 0; slot < slots; ++slot) {
        upstreams[slot] = members[table.slots[slot % table.slots.size()]];
    }
    return upstreams;
}

bool isNewer(const EpochDocument &candidate, const EpochDocument &held)
{
    if (held.tables.empty()) {
        return true;
    }
    const std::uint64_t newest = held.tables.back().epoch;
    const std::uint64_t candidateNewest = candidate.tables.back().epoch;
    if (candidateNewest != newest) {
        return candidateNewest > newest;
    }
    if (candidate.newestActive != held.newestActive) {
        return candidate.newestActive;
    }
    return candidate.tables.front().epoch > held.tables.front().epoch;
}
}

bool ServiceTables::accept(const EpochDocument &accepted, const Resolve &resolve)
{
    if (accepted.tables.empty() || !isNewer(accepted, this->held)) {
        return false;
    }
    this->held = accepted;
    this->merge(resolve);
    return true;
}

void ServiceTables::resolveAgain(const Resolve &resolve)
{
    if (!this->held.tables.empty()) {
        this->merge(resolve);
    }
}

void ServiceTables::merge(const Resolve &resolve)
{
    const auto &tables = this->held.tables;
    std::size_t slots = 1;
    for (const EpochTable &table : tables) {
        slots = std::max(slots, table.slots.size());
    }
    const std::size_t active =
        this->held.newestActive || tables.size() == 1 ? tables.size() : tables.size() - 1;
    this->currents = expanded(tables[active - 1], slots, resolve);
    this->oldests.clear();
    this->newests.clear();
    this->differences.clear();
    this->settledDifferences.clear();
    if (tables.size() == 1) {
        return;
    }
    this->oldests = expanded(tables.front(), slots, resolve);
    this->newests = expanded(tables.back(), slots, resolve);
    this->differences.assign(slots, false);
    this->settledDifferences.assign(slots, false);
    for (std::size_t i = 1; i < tables.size(); ++i) {
        const auto upstreams = expanded(tables[i], slots, resolve);
        for (std::size_t slot = 0; slot < slots; ++slot) {
            const bool differs = upstreams[slot] != this->oldests[slot];
            this->differences[slot] = this->differences[slot] || differs;
            this->settledDifferences[slot] =
                this->settledDifferences[slot] || (differs && i < active);
        }
    }
}
}
