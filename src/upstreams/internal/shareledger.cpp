#include "upstreams/internal/shareledger.h"

#include "global/hash.h"

#include <algorithm>

namespace radishladder::upstreams {
std::vector<VmName> rankedVms(const VmList &list, const std::string &subject,
                              const DataCentreName &dataCentre)
{
    std::vector<const ListedVm *> eligible;
    eligible.reserve(list.size());
    for (const ListedVm &vm : list) {
        if (vm.dataCentre == dataCentre) {
            eligible.push_back(&vm);
        }
    }
    if (eligible.empty()) {
        for (const ListedVm &vm : list) {
            eligible.push_back(&vm);
        }
    }
    const std::uint64_t key = hash64(subject);
    std::vector<std::pair<std::uint64_t, VmName>> scored;
    scored.reserve(eligible.size());
    for (const ListedVm *vm : eligible) {
        scored.emplace_back(rendezvousScore(key, vm->name.str()), vm->name);
    }
    std::ranges::sort(scored, std::greater());
    std::vector<VmName> names;
    names.reserve(scored.size());
    for (auto &[score, name] : scored) {
        names.push_back(std::move(name));
    }
    return names;
}

ShareLedger::ShareLedger(VmName self, std::chrono::milliseconds rest)
    : self(std::move(self)), rest(rest), lists(1)
{ }

void ShareLedger::setList(VmList list, TimePoint now)
{
    std::ranges::sort(list);
    Entry &newest = this->lists.back();
    if (newest.list == list) {
        return;
    }
    // A VM that has released its slots before it went leaves nothing that could still be in use.
    const bool mayBeInUse = std::ranges::any_of(newest.list, [&](const ListedVm &vm) {
        return !std::ranges::binary_search(list, vm) && !this->released.contains(vm.name);
    });
    if (mayBeInUse) {
        this->lastRemoval = now;
    }
    newest.replacedAt = now;
    std::erase_if(this->lists,
                  [&](const Entry &entry) { return entry.replacedAt + this->rest <= now; });
    this->lists.push_back({.list = std::move(list)});
}

void ShareLedger::noteReleased(const VmName &vm)
{
    this->released.insert(vm);
}

void ShareLedger::forgetReleased(const VmName &vm)
{
    this->released.erase(vm);
}

void ShareLedger::confirm()
{
    while (this->lists.size() > 1) {
        this->lists.pop_front();
    }
}

void ShareLedger::prolongRest(TimePoint now)
{
    for (Entry &entry : this->lists) {
        const bool isResting = entry.replacedAt + this->rest > now;
        if (&entry != &this->lists.back() && isResting) {
            entry.replacedAt = now;
        }
    }
}

bool ShareLedger::mayConfirm(TimePoint now) const
{
    return this->lastRemoval == TimePoint::min() || this->lastRemoval + this->rest <= now;
}

bool ShareLedger::isResting(TimePoint now) const
{
    return std::ranges::any_of(this->lists, [&](const Entry &entry) {
        return &entry != &this->lists.back() && entry.replacedAt + this->rest > now;
    });
}

std::uint64_t ShareLedger::listDigest() const
{
    std::string text;
    for (const ListedVm &vm : this->list()) {
        text += vm.name.str() + '/' + vm.dataCentre.str() + '\n';
    }
    return hash64(text);
}

int ShareLedger::share(const std::string &subject, const DataCentreName &dataCentre, int total,
                       TimePoint now) const
{
    int smallest = total;
    for (const Entry &entry : this->lists) {
        const bool isNewest = &entry == &this->lists.back();
        if (!isNewest && entry.replacedAt + this->rest <= now) {
            continue;
        }
        const Position &own = this->position(entry, subject, dataCentre);
        const int share =
            own.rank < 0 ? 0 : total / own.count + (own.rank < total % own.count ? 1 : 0);
        smallest = std::min(smallest, share);
    }
    return smallest;
}

const ShareLedger::Position &ShareLedger::position(const Entry &entry, const std::string &subject,
                                                   const DataCentreName &dataCentre) const
{
    const auto [found, isNew] =
        entry.positions.try_emplace(dataCentre.str() + '/' + subject, Position());
    if (isNew) {
        const std::vector<VmName> ranked = rankedVms(entry.list, subject, dataCentre);
        const auto own = std::ranges::find(ranked, this->self);
        found->second.count = static_cast<int>(ranked.size());
        found->second.rank = own == ranked.end() ? -1 : static_cast<int>(own - ranked.begin());
    }
    return found->second;
}

std::vector<VmName> ShareLedger::holders(const std::string &subject,
                                         const DataCentreName &dataCentre, int total) const
{
    std::vector<VmName> ranked = rankedVms(this->list(), subject, dataCentre);
    ranked.resize(std::min(ranked.size(), static_cast<std::size_t>(std::max(total, 0))));
    return ranked;
}
}
