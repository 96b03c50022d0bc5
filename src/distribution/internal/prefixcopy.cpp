#include "distribution/prefixcopy.h"

#include "store/types/storelisting.h"

#include <algorithm>

namespace radishladder::distribution {
void PrefixCopy::addPage(const std::string &afterKey, const store::StoreListing &page)
{
    if (afterKey.empty()) {
        this->items.clear();
        // Pages are no snapshot: who follows from the first one hears again what later ones show.
        this->revision = page.revision;
    }
    for (const store::StoreItem &item : page.items) {
        this->apply(item);
    }
    this->isWhole = !page.hasMore || page.items.empty();
}

void PrefixCopy::extend(std::uint64_t after, const store::StoreListing &changes)
{
    if (after > this->revision) {
        this->isWhole = false;
        return;
    }
    for (const store::StoreItem &item : changes.items) {
        this->apply(item);
    }
    this->revision = std::max(this->revision, changes.revision);
}

void PrefixCopy::apply(const store::StoreItem &item)
{
    const auto known = this->items.find(item.key);
    if (known != this->items.end() && known->second.revision > item.revision) {
        return;
    }
    if (item.isRemoval) {
        this->items.erase(item.key);
    } else {
        this->items.insert_or_assign(item.key, item);
    }
}

std::optional<store::StoreListing> PrefixCopy::listing() const
{
    if (!this->isWhole) {
        return std::nullopt;
    }
    store::StoreListing listing{.status = store::StoreStatus::Ok, .revision = this->revision};
    for (const auto &[key, item] : this->items) {
        listing.items.push_back(item);
    }
    return listing;
}
}
