#pragma once

#include "standins/storemode.h"
#include "store/istore.h"
#include "store/types/storeitem.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::standins {

//! In-memory key-value store that can show the faults of the real store; runs on any event loop.
class MemoryStore : public store::IStore
{
public:
    using Mode = StoreMode;
    struct Copy;

    explicit MemoryStore(net::IEventLoop &loop) : loop(loop) { }

    void list(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
              ListingHandler handler) override;
    void watch(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait,
               ListingHandler handler) override;
    void readChanges(const std::string &prefix, std::uint64_t revision,
                     ListingHandler handler) override;
    void cancel(const std::string &prefix) override;
    void grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler) override;
    void renewLease(std::uint64_t lease, LeaseHandler handler) override;
    void endLease(std::uint64_t lease, StatusHandler handler) override;
    void write(const store::StoreWrite &write, StatusHandler handler) override;

    //! put() and remove() change a key as an operator or an upstream would; they take effect at
    //! once and do not count as calls.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    //! Ends a lease and removes its keys, as the store does when the lease's time to live has
    //! passed.
    void expire(std::uint64_t lease);

    //! Discards the history of changes and closes the waiting watches with an error.
    void compact();

    void setMode(Mode changed);

    //! Returns a copy of keys, leases, revisions and history.
    std::shared_ptr<const Copy> copy() const;

    //! Restores a copy taken earlier, which begins the next era: everything written since the copy
    //! is lost, waiting watches are cut without a response, and revisions and identifiers of leases
    //! are given out again. Leases of the copy get their whole time to live.
    void restore(const Copy &older);

    //! Sets the era; 0 if the store sends none.
    void setEra(std::uint64_t changed) { this->currentEra = changed; }
    std::uint64_t era() const { return this->currentEra; }

    //! Sets the most items in one page of a listing.
    void setPageSize(std::size_t items) { this->pageSize = items; }

    std::uint64_t calls() const { return this->callCount; }
    std::uint64_t revision() const { return this->currentRevision; }
    const std::map<std::string, store::StoreItem> &items() const { return this->current; }

private:
    struct Lease
    {
        std::chrono::milliseconds timeToLive{0};

        //! Number of the last renewal.
        std::uint64_t renewal = 0;
    };

    struct Watch
    {
        std::uint64_t id;
        std::string prefix;
        std::uint64_t revision;
        ListingHandler handler;
    };

    //! Counts a request and calls \a handler with the status and after the delay that the mode
    //! prescribes.
    void respond(const std::function<void(store::StoreStatus)> &handler);
    void applyChange(store::StoreItem item);
    void notifyWatches();
    void endWatch(std::uint64_t id);
    void failSilentWatch(std::uint64_t id);
    void scheduleExpiry(std::uint64_t lease);

    //! Returns true if the store has all changes after \a revision.
    bool hasChangesAfter(std::uint64_t revision) const;
    std::vector<store::StoreItem> changesAfter(const std::string &prefix,
                                               std::uint64_t revision) const;

    net::IEventLoop &loop;
    Mode mode = Mode::Serving;
    std::size_t pageSize = 500;
    std::uint64_t currentEra = 1;
    std::uint64_t currentRevision = 1;
    std::uint64_t oldestRevision = 1;
    std::uint64_t lastLease = 0;
    std::uint64_t lastWatch = 0;
    std::uint64_t callCount = 0;
    std::map<std::string, store::StoreItem> current;
    std::map<std::string, std::uint64_t> leaseOfKey;
    std::map<std::uint64_t, Lease> leases;

    //! Number of grants and renewals of all leases; never goes back, so that the timer of a lease
    //! that was lost does not end a later one with its identifier.
    std::uint64_t renewalCount = 0;
    std::vector<store::StoreItem> history;
    std::vector<Watch> watches;

    //! Watches that waited when the store became silent; they get no changes and fail when their
    //! waiting time ends.
    std::vector<Watch> silentWatches;
};
}
