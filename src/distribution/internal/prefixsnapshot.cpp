#include "distribution/prefixsnapshot.h"

#include "store/types/storelisting.h"

#include <algorithm>

namespace radishladder::distribution {
void PrefixSnapshot::addPage(const std::string &afterKey, const store::StoreListing &page)
{
    if (page.storeRevision().hasOlderEraThan(this->revision)) {
        return;
    }
    if (afterKey.empty()) {
        this->items.clear();
        // Pages are read at different revisions: a watch that starts at the revision of the first
        // page returns again the changes that later pages already contain.
        this->revision = page.storeRevision();
    } else if (!page.storeRevision().hasEraOf(this->revision)) {
        this->isComplete = false;
        return;
    }
    for (const store::StoreItem &item : page.items) {
        this->applyItem(item);
    }
    this->isComplete = !page.hasMore || page.items.empty();
}

void PrefixSnapshot::applyChanges(std::uint64_t after, const store::StoreListing &changes)
{
    const store::StoreRevision from{.era = changes.era, .revision = after};
    if (from > this->revision) {
        this->isComplete = false;
        return;
    }
    if (!from.hasEraOf(this->revision)) {
        return;
    }
    for (const store::StoreItem &item : changes.items) {
        this->applyItem(item);
    }
    this->revision = std::max(this->revision, changes.storeRevision());
}

void PrefixSnapshot::applyItem(const store::StoreItem &item)
{
    const auto existing = this->items.find(item.key);
    if (existing != this->items.end() && existing->second.revision > item.revision) {
        return;
    }
    if (item.isRemoval) {
        this->items.erase(item.key);
    } else {
        this->items.insert_or_assign(item.key, item);
    }
}

std::optional<store::StoreListing> PrefixSnapshot::listing() const
{
    if (!this->isComplete) {
        return std::nullopt;
    }
    store::StoreListing listing{.status = store::StoreStatus::Ok,
                                .revision = this->revision.revision,
                                .era = this->revision.era};
    for (const auto &[key, item] : this->items) {
        listing.items.push_back(item);
    }
    return listing;
}
}
