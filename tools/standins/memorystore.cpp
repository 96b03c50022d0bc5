#include "standins/memorystore.h"

#include "net/ieventloop.h"
#include "store/types/storelease.h"
#include "store/types/storelisting.h"
#include "store/types/storewrite.h"

#include <algorithm>

namespace radishladder::standins {
namespace {
using store::StoreItem;
using store::StoreListing;
using store::StoreStatus;

constexpr std::chrono::milliseconds kResponseTime{4};
constexpr std::chrono::milliseconds kSlowResponseTime{600};
constexpr std::chrono::milliseconds kRequestTimeout{1500};

bool isResponding(StoreMode mode)
{
    return mode == StoreMode::Serving || mode == StoreMode::Slow;
}
}

struct MemoryStore::Copy
{
    std::uint64_t revision = 0;
    std::uint64_t oldestRevision = 0;
    std::uint64_t lastLease = 0;
    std::map<std::string, StoreItem> items;
    std::map<std::string, std::uint64_t> leaseOfKey;
    std::map<std::uint64_t, Lease> leases;
    std::vector<StoreItem> history;
};

std::shared_ptr<const MemoryStore::Copy> MemoryStore::copy() const
{
    return std::make_shared<const Copy>(Copy{.revision = this->currentRevision,
                                             .oldestRevision = this->oldestRevision,
                                             .lastLease = this->lastLease,
                                             .items = this->current,
                                             .leaseOfKey = this->leaseOfKey,
                                             .leases = this->leases,
                                             .history = this->history});
}

void MemoryStore::restore(const Copy &older)
{
    ++this->currentEra;
    this->currentRevision = older.revision;
    this->oldestRevision = older.oldestRevision;
    this->lastLease = older.lastLease;
    this->current = older.items;
    this->leaseOfKey = older.leaseOfKey;
    this->leases = older.leases;
    this->history = older.history;
    for (const auto &[lease, granted] : older.leases) {
        this->scheduleExpiry(lease);
    }
    std::vector<Watch> cut;
    std::swap(cut, this->watches);
    for (const Watch &watch : cut) {
        watch.handler({.status = StoreStatus::Unknown, .detail = "cut"});
    }
}

bool MemoryStore::hasChangesAfter(std::uint64_t revision) const
{
    return revision >= this->oldestRevision && revision <= this->currentRevision;
}

void MemoryStore::respond(const std::function<void(StoreStatus)> &handler)
{
    ++this->callCount;
    switch (this->mode) {
    case Mode::Serving:
        this->loop.after(kResponseTime, [handler]() { handler(StoreStatus::Ok); });
        break;
    case Mode::Slow:
        this->loop.after(kSlowResponseTime, [handler]() { handler(StoreStatus::Ok); });
        break;
    case Mode::Refusing:
        this->loop.after(kResponseTime, [handler]() { handler(StoreStatus::Refused); });
        break;
    case Mode::Silent:
        this->loop.after(kRequestTimeout, [handler]() { handler(StoreStatus::Unknown); });
        break;
    }
}

void MemoryStore::list(const std::string &prefix, const std::string &afterKey, store::ReadKind,
                       ListingHandler handler)
{
    this->respond([this, prefix, afterKey, handler](StoreStatus status) {
        StoreListing page{
            .status = status, .revision = this->currentRevision, .era = this->currentEra};
        if (status == StoreStatus::Ok) {
            for (auto item = this->current.upper_bound(std::max(afterKey, prefix));
                 item != this->current.end() && item->first.starts_with(prefix); ++item) {
                if (page.items.size() == this->pageSize) {
                    page.hasMore = true;
                    break;
                }
                page.items.push_back(item->second);
            }
        }
        handler(page);
    });
}

void MemoryStore::watch(const std::string &prefix, std::uint64_t revision,
                        std::chrono::milliseconds wait, ListingHandler handler)
{
    if (this->mode == Mode::Silent) {
        ++this->callCount;
        const std::uint64_t id = ++this->lastWatch;
        this->silentWatches.push_back({id, prefix, revision, std::move(handler)});
        this->loop.after(wait + kMaxWatchOverrun, [this, id]() { this->failSilentWatch(id); });
        return;
    }
    if (!isResponding(this->mode) || !this->hasChangesAfter(revision)) {
        this->respond([this, handler](StoreStatus status) {
            const bool isServing = status == StoreStatus::Ok;
            handler(
                {.status = isServing ? StoreStatus::Compacted : status, .era = this->currentEra});
        });
        return;
    }
    ++this->callCount;
    const std::uint64_t id = ++this->lastWatch;
    this->watches.push_back({id, prefix, revision, std::move(handler)});
    this->loop.after(wait, [this, id]() { this->endWatch(id); });
    this->loop.after(this->mode == Mode::Slow ? kSlowResponseTime : kResponseTime,
                     [this]() { this->notifyWatches(); });
}

void MemoryStore::readChanges(const std::string &prefix, std::uint64_t revision,
                              ListingHandler handler)
{
    this->respond([this, prefix, revision, handler](StoreStatus status) {
        if (status == StoreStatus::Ok && !this->hasChangesAfter(revision)) {
            status = StoreStatus::Compacted;
        }
        StoreListing changes{
            .status = status, .revision = this->currentRevision, .era = this->currentEra};
        if (status == StoreStatus::Ok) {
            changes.items = this->changesAfter(prefix, revision);
        }
        handler(changes);
    });
}

void MemoryStore::endWatch(std::uint64_t id)
{
    if (std::ranges::find(this->silentWatches, id, &Watch::id) != this->silentWatches.end()) {
        this->loop.after(kMaxWatchOverrun, [this, id]() { this->failSilentWatch(id); });
        return;
    }
    const auto watch = std::ranges::find(this->watches, id, &Watch::id);
    if (watch == this->watches.end()) {
        return;
    }
    const ListingHandler handler = std::move(watch->handler);
    const StoreListing changes{.status = StoreStatus::Ok,
                               .items = this->changesAfter(watch->prefix, watch->revision),
                               .revision = this->currentRevision,
                               .era = this->currentEra};
    this->watches.erase(watch);
    handler(changes);
}

void MemoryStore::failSilentWatch(std::uint64_t id)
{
    const auto silentWatch = std::ranges::find(this->silentWatches, id, &Watch::id);
    if (silentWatch == this->silentWatches.end()) {
        return;
    }
    const ListingHandler handler = std::move(silentWatch->handler);
    this->silentWatches.erase(silentWatch);
    handler({.status = StoreStatus::Unknown, .detail = "no answer"});
}

std::vector<StoreItem> MemoryStore::changesAfter(const std::string &prefix,
                                                 std::uint64_t revision) const
{
    std::vector<StoreItem> changes;
    std::ranges::copy_if(this->history, std::back_inserter(changes),
                         [&prefix, revision](const StoreItem &item) {
                             return item.revision > revision && item.key.starts_with(prefix);
                         });
    return changes;
}

void MemoryStore::notifyWatches()
{
    if (!isResponding(this->mode)) {
        return;
    }
    std::vector<std::pair<ListingHandler, StoreListing>> due;
    std::erase_if(this->watches, [this, &due](Watch &watch) {
        StoreListing changes{.status = StoreStatus::Ok,
                             .items = this->changesAfter(watch.prefix, watch.revision),
                             .revision = this->currentRevision,
                             .era = this->currentEra};
        if (changes.items.empty()) {
            return false;
        }
        due.emplace_back(std::move(watch.handler), std::move(changes));
        return true;
    });
    for (const auto &[handler, changes] : due) {
        handler(changes);
    }
}

void MemoryStore::applyChange(StoreItem item)
{
    item.revision = ++this->currentRevision;
    const auto found = this->current.find(item.key);
    item.createdRevision =
        found == this->current.end() ? item.revision : found->second.createdRevision;
    this->history.push_back(item);
    if (item.isRemoval) {
        this->current.erase(item.key);
        this->leaseOfKey.erase(item.key);
    } else {
        this->current[item.key] = item;
    }
    this->loop.after(kResponseTime, [this]() { this->notifyWatches(); });
}

void MemoryStore::put(const std::string &key, const std::string &value)
{
    this->applyChange({.key = key, .value = value});
}

void MemoryStore::remove(const std::string &key)
{
    if (this->current.contains(key)) {
        this->applyChange({.key = key, .isRemoval = true});
    }
}

void MemoryStore::expire(std::uint64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, owner] : this->leaseOfKey) {
        if (owner == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        this->remove(key);
    }
}

void MemoryStore::compact()
{
    this->oldestRevision = ++this->currentRevision;
    this->history.clear();
    std::vector<Watch> closed;
    std::swap(closed, this->watches);
    for (const Watch &watch : closed) {
        watch.handler({.status = StoreStatus::Refused, .era = this->currentEra, .detail = "cut"});
    }
}

void MemoryStore::setMode(Mode changed)
{
    this->mode = changed;
    if (changed == Mode::Refusing) {
        std::vector<Watch> closed;
        std::swap(closed, this->watches);
        for (const Watch &watch : closed) {
            watch.handler(
                {.status = StoreStatus::Refused, .era = this->currentEra, .detail = "cut"});
        }
    }
    if (changed == Mode::Silent) {
        std::ranges::move(this->watches, std::back_inserter(this->silentWatches));
        this->watches.clear();
    }
    this->notifyWatches();
}

void MemoryStore::cancel(const std::string &prefix)
{
    std::erase_if(this->watches, [&prefix](const Watch &watch) { return watch.prefix == prefix; });
    std::erase_if(this->silentWatches,
                  [&prefix](const Watch &watch) { return watch.prefix == prefix; });
}

void MemoryStore::scheduleExpiry(std::uint64_t lease)
{
    Lease &granted = this->leases[lease];
    granted.renewal = ++this->renewalCount;
    this->loop.after(granted.timeToLive, [this, lease, renewal = granted.renewal]() {
        const auto found = this->leases.find(lease);
        if (found != this->leases.end() && found->second.renewal == renewal) {
            this->expire(lease);
        }
    });
}

void MemoryStore::grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler)
{
    this->respond([this, timeToLive, handler](StoreStatus status) {
        store::StoreLease lease{
            .status = status, .timeToLive = timeToLive, .era = this->currentEra};
        if (status == StoreStatus::Ok) {
            lease.id = ++this->lastLease;
            this->leases[lease.id].timeToLive = timeToLive;
            this->scheduleExpiry(lease.id);
        }
        handler(lease);
    });
}

void MemoryStore::renewLease(std::uint64_t lease, LeaseHandler handler)
{
    this->respond([this, lease, handler](StoreStatus status) {
        const bool isGranted = this->leases.contains(lease);
        if (status == StoreStatus::Ok && !isGranted) {
            status = StoreStatus::Missing;
        } else if (status == StoreStatus::Ok) {
            this->scheduleExpiry(lease);
        }
        handler({.status = status,
                 .id = lease,
                 .timeToLive =
                     isGranted ? this->leases[lease].timeToLive : std::chrono::milliseconds(0),
                 .era = this->currentEra});
    });
}

void MemoryStore::endLease(std::uint64_t lease, StatusHandler handler)
{
    this->respond([this, lease, handler](StoreStatus status) {
        if (status == StoreStatus::Ok) {
            this->expire(lease);
        }
        handler(status, "");
    });
}

void MemoryStore::write(const store::StoreWrite &write, StatusHandler handler)
{
    this->respond([this, write, handler](StoreStatus status) {
        const auto found = this->current.find(write.key);
        const std::uint64_t revision = found == this->current.end() ? 0 : found->second.revision;
        if (status == StoreStatus::Ok && write.lease != 0 && !this->leases.contains(write.lease)) {
            status = StoreStatus::Missing;
        }
        if (status == StoreStatus::Ok && write.expectedRevision.value_or(revision) != revision) {
            status = StoreStatus::Conflict;
        }
        if (status == StoreStatus::Ok) {
            this->put(write.key, write.value);
            this->leaseOfKey[write.key] = write.lease;
        }
        handler(status, "");
    });
}
}
