#pragma once

#include "global/reason.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::store {
struct StoredValue;

//! The platform's key-value service. Calls return at once; handlers run on the event loop.
class IConfigStore
{
public:
    using LeaseId = std::int64_t;
    using WatchId = std::uint64_t;

    //! \a value is empty with StoreKeyMissing if the key is absent; \a revision is that of the
    //! whole store.
    using GetHandler =
        std::function<void(std::optional<StoredValue> value, std::int64_t revision, Reason reason)>;
    using ListHandler = std::function<void(std::optional<std::vector<StoredValue>> values,
                                           std::int64_t revision, Reason reason)>;

    //! \a revision is the new one of the key. StoreConflict: nothing was written. StoreAnswerLost
    //! or StoreTimeout: the write may have taken effect; read back to find out.
    using WriteHandler = std::function<void(std::optional<std::int64_t> revision, Reason reason)>;
    using LeaseHandler = std::function<void(std::optional<LeaseId> lease, Reason reason)>;

    //! Events in order of revision; a reason other than Ok means that the watch has ended.
    using WatchHandler = std::function<void(const std::vector<StoredValue> &events, Reason reason)>;

    virtual ~IConfigStore() = default;

    virtual void get(const std::string &key, GetHandler handler) = 0;
    virtual void list(const std::string &prefix, ListHandler handler) = 0;

    //! Writes \a value if the key's revision still is \a expected (0: the key is absent).
    virtual void compareAndSwap(const std::string &key, std::int64_t expected,
                                const std::string &value, std::optional<LeaseId> lease,
                                WriteHandler handler) = 0;

    virtual void grantLease(std::chrono::seconds duration, LeaseHandler handler) = 0;
    virtual void keepLeaseAlive(LeaseId lease, LeaseHandler handler) = 0;

    //! Watches all keys that start with \a prefix from \a fromRevision on.
    virtual WatchId watch(const std::string &prefix, std::int64_t fromRevision,
                          WatchHandler handler) = 0;
    virtual void cancelWatch(WatchId id) = 0;
};
}
