#include "membership/internal/probelist.h"

#include "global/irandom.h"

#include <algorithm>

namespace radishladder::membership {
ProbeList::ProbeList(IRandom &random) : random(random) { }

std::uint64_t ProbeList::add(Probe probe)
{
    this->waiting[++this->sequence] = std::move(probe);
    return this->sequence;
}

VmName ProbeList::next(const std::vector<VmName> &candidates)
{
    // Two passes: a round may hold only names that have gone meanwhile.
    for (int pass = 0; pass < 2; ++pass) {
        while (!this->round.empty()) {
            VmName name = this->round.back();
            this->round.pop_back();
            if (std::ranges::find(candidates, name) != candidates.end()) {
                return name;
            }
        }
        this->round = candidates;
        this->shuffle(this->round);
    }
    return {};
}

void ProbeList::shuffle(std::vector<VmName> &names)
{
    for (std::size_t i = names.size(); i > 1; --i) {
        std::swap(names[i - 1], names[this->random.next() % i]);
    }
}
}
