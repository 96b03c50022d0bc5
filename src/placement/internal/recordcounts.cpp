#include "placement/internal/recordcounts.h"

namespace radishladder::placement {
void RecordCounts::remove(const Key &key)
{
    const auto found = this->counts.find(key);
    if (found != this->counts.end() && --found->second == 0) {
        this->counts.erase(found);
    }
}

void RecordCounts::forEach(const std::function<void(const Key &)> &visit) const
{
    for (const auto &[key, count] : this->counts) {
        visit(key);
    }
}
}
