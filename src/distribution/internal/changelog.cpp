#include "distribution/changelog.h"

#include "store/types/storelisting.h"

namespace radishladder::distribution {
namespace {
constexpr std::size_t kMostItems = 1024;
constexpr std::size_t kMostBytes = 512 * 1024;
}

void ChangeLog::extend(std::uint64_t after, const store::StoreListing &changes)
{
    if (after != this->last) {
        // The follower listed everything anew, so what lies between is unknown.
        this->items.clear();
        this->bytes = 0;
        this->begin = after;
    }
    for (const store::StoreItem &item : changes.items) {
        this->items.push_back(item);
        this->bytes += item.value.size();
    }
    this->last = std::max(after, changes.revision);
    while (this->items.size() > kMostItems || this->bytes > kMostBytes) {
        this->dropOldest();
    }
}

void ChangeLog::dropOldest()
{
    this->begin = this->items.front().revision;
    this->bytes -= this->items.front().value.size();
    this->items.pop_front();
}

std::optional<std::vector<store::StoreItem>> ChangeLog::since(std::uint64_t revision) const
{
    if (revision < this->begin) {
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
