#include "evidence/suspectchanges.h"

#include <utility>

namespace radishladder::evidence {

void SuspectChanges::add(const SuspectChange &change)
{
    const auto isReverted = [&change](const SuspectChange &other) {
        return other.upstream == change.upstream;
    };
    if (std::erase_if(this->changes, isReverted) == 0) {
        this->changes.push_back(change);
    }
}

std::vector<SuspectChange> SuspectChanges::take()
{
    return std::exchange(this->changes, {});
}
}
