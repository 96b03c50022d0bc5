#pragma once

#include "standins/storemode.h"
#include "store/istore.h"
#include "store/types/storeitem.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::standins {

//! A key-value store in memory with the faults of the real one; runs on any event loop.
class MemoryStore : public store::IStore
{
public:
    using Mode = StoreMode;

    explicit MemoryStore(net::IEventLoop &loop) : loop(loop) { }

    void list(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
              ListingHandler handler) override;
    void watch(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait,
               ListingHandler handler) override;
    void abandon(const std::string &prefix) override;
    void grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler) override;
    void renewLease(std::uint64_t lease, LeaseHandler handler) override;
    void endLease(std::uint64_t lease, StatusHandler handler) override;
    void write(const store::StoreWrite &write, StatusHandler handler) override;

    //! Writes as the operator or an upstream would, without a call.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    //! Ends a lease and its keys, as the store does when its time is up.
    void expire(std::uint64_t lease);

    //! Forgets the changes so far and cuts the waiting watches.
    void compact();

    void setMode(Mode changed);

    //! Items of one page of a listing.
    void setPageSize(std::size_t items) { this->pageSize = items; }

    std::uint64_t calls() const { return this->callCount; }
    std::uint64_t revision() const { return this->currentRevision; }
    const std::map<std::string, store::StoreItem> &items() const { return this->current; }

private:
    struct Watch
    {
        std::uint64_t id;
        std::string prefix;
        std::uint64_t revision;
        ListingHandler handler;
    };

    //! Answers after the time that an answer takes, or as the mode says.
    void reply(const std::function<void(store::StoreStatus)> &answer);
    void change(store::StoreItem item);
    void wake();
    void endWatch(std::uint64_t id);
    void expectRenewal(std::uint64_t lease);
    std::vector<store::StoreItem> changesAfter(const std::string &prefix,
                                               std::uint64_t revision) const;

    net::IEventLoop &loop;
    Mode mode = Mode::Serving;
    std::size_t pageSize = 500;
    std::uint64_t currentRevision = 1;
    std::uint64_t oldestRevision = 1;
    std::uint64_t lastLease = 0;
    std::uint64_t lastWatch = 0;
    std::uint64_t callCount = 0;
    std::map<std::string, store::StoreItem> current;
    std::map<std::string, std::uint64_t> leaseOfKey;
    struct Lease
    {
        std::chrono::milliseconds timeToLive{0};
        std::uint64_t renewals = 0;
    };

    std::map<std::uint64_t, Lease> leases;
    std::vector<store::StoreItem> history;
    std::vector<Watch> watches;

    //! Watches on connections that return nothing further; they end with their waiting time.
    std::vector<Watch> lost;
};
}
