#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace radishladder::store {
enum class ReadKind : std::uint8_t;
enum class StoreStatus : std::uint8_t;
struct StoreLease;
struct StoreListing;
struct StoreWrite;

//! Client of the platform's key-value store. Every handler is called exactly once, on the event
//! loop, unless the call is cancelled.
class IStore
{
public:
    using ListingHandler = std::function<void(const StoreListing &)>;
    using LeaseHandler = std::function<void(const StoreLease &)>;
    using StatusHandler = std::function<void(StoreStatus status, const std::string &detail)>;

    //! A call to watch() that gets no response fails at most this long after its wait.
    static constexpr std::chrono::milliseconds kMaxWatchOverrun{1000};

    //! A watch with this wait returns at once.
    static constexpr std::chrono::milliseconds kMinWatchWait{1};

    virtual ~IStore() = default;

    //! Lists one page of the items under \a prefix, starting after \a afterKey.
    virtual void list(const std::string &prefix, const std::string &afterKey, ReadKind kind,
                      ListingHandler handler) = 0;

    //! Waits up to \a wait for changes under \a prefix after \a revision. Only one watch per prefix
    //! may run.
    virtual void watch(const std::string &prefix, std::uint64_t revision,
                       std::chrono::milliseconds wait, ListingHandler handler) = 0;

    //! Requests the changes under \a prefix after \a revision at once and from the store itself,
    //! beside a pending watch.
    virtual void readChanges(const std::string &prefix, std::uint64_t revision,
                             ListingHandler handler) = 0;

    //! Cancels the running list, watch and readChanges() calls of \a prefix and closes their
    //! connections.
    virtual void cancel(const std::string &prefix) = 0;

    virtual void grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler) = 0;
    virtual void renewLease(std::uint64_t lease, LeaseHandler handler) = 0;
    virtual void endLease(std::uint64_t lease, StatusHandler handler) = 0;
    virtual void write(const StoreWrite &write, StatusHandler handler) = 0;
};
}
