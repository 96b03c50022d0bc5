#include "distribution/changelog.h"

#include "store/types/storelisting.h"

namespace radishladder::distribution {
namespace {
//! Limits memory. A peer that is further behind lists the prefix again.
constexpr std::size_t kMaxItems = 1024;
constexpr std::size_t kMaxBytes = 512 * 1024;
}

void ChangeLog::append(std::uint64_t after, const store::StoreListing &changes)
{
    const store::StoreRevision from{.era = changes.era, .revision = after};
    if (from != this->endRevision) {
        // The prefix was listed again, so the changes in between are missing; or the store was
        // restored, so the earlier changes belong to other revisions.
        this->items.clear();
        this->bytes = 0;
        this->startRevision = after;
    }
    for (const store::StoreItem &item : changes.items) {
        this->items.push_back(item);
        this->bytes += item.value.size();
    }
    this->endRevision = std::max(from, changes.storeRevision());
    while (this->items.size() > kMaxItems || this->bytes > kMaxBytes) {
        this->discardOldest();
    }
}

void ChangeLog::discardOldest()
{
    this->startRevision = this->items.front().revision;
    this->bytes -= this->items.front().value.size();
    this->items.pop_front();
}

std::optional<std::vector<store::StoreItem>> ChangeLog::changesAfter(std::uint64_t revision) const
{
    if (revision < this->startRevision) {
        return std::nullopt;
    }
    std::vector<store::StoreItem> found;
    for (const store::StoreItem &item : this->items) {
        if (item.revision > revision) {
            found.push_back(item);
        }
    }
    return found;
}
}
