#pragma once

#include "distribution/changelog.h"
#include "distribution/prefixsnapshot.h"
#include "store/eratracker.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace radishladder::store {
enum class ReadKind : std::uint8_t;
}

namespace radishladder::distribution {
enum class SnapshotAge : std::uint8_t;
struct RelayResponse;

//! Cache of the store's data and changes, from which this VM responds to its peers; does no I/O and
//! reads no clock.
//!
//! Changes are served only for prefixes that this VM watches at the store itself, so that peers
//! never watch through each other in a cycle.
class ChangeCache
{
public:
    ChangeCache();

    //! IClock::timeSinceBoot(), which includes time spent suspended: after a pause, data received
    //! before the pause must not count as new.
    using BootTime = std::chrono::nanoseconds;

    //! Sets the function that is called when there are changes or a prefix has been listed, or when
    //! this VM can no longer serve a prefix.
    void setChangeListener(std::function<void()> listener) { this->listener = std::move(listener); }

    //! Records that the newest known era of the store is \a era. If it is newer than that of the
    //! data, this VM serves no changes and listings until it has listed the prefixes again; it
    //! keeps its snapshots for VMs that start while the store does not respond.
    void recordEra(std::uint64_t era) { this->eraTracker.accept(era); }

    //! Returns the newest era that this VM knows; 0 if it knows none.
    std::uint64_t era() const { return this->eraTracker.newestEra().value_or(0); }

    //! Returns the oldest era of the complete snapshots; 0 if there are none.
    std::uint64_t dataEra() const;

    //! Records that the store responded to a call of this VM, or that the connection to the store
    //! is lost.
    void recordResponse(BootTime now);
    void recordStoreLost();

    //! Returns true if this VM has a complete snapshot of \a prefix, of any age.
    bool hasSnapshot(const std::string &prefix) const;

    //! Returns the time since this VM last received data of the store; std::nullopt if it has no
    //! complete snapshot of any prefix.
    std::optional<std::chrono::milliseconds> dataAge(BootTime now) const;

    //! Returns true if the store responded to a call of this VM recently.
    bool isConnected(BootTime now) const;

    //! Records that a watch of \a prefix starts at the store, for changes after \a after.
    void recordWatch(const std::string &prefix, std::uint64_t after);

    //! Records that the watch that starts at \a now waits for its response, or that it has ended.
    void recordWatchPending(const std::string &prefix, BootTime now);
    void recordWatchEnded(const std::string &prefix) { this->watchedSince.erase(prefix); }

    //! Records that the store answered a linearizable call that was sent at \a sentAt. Changes
    //! before that have been delivered by the watches that were pending then.
    void recordAnsweredCall(BootTime sentAt);

    //! Adds the store's response to a watch of \a prefix for changes after \a after; the response
    //! includes every change until \a confirmedAt.
    void addChanges(const std::string &prefix, std::uint64_t after,
                    const store::StoreListing &changes, BootTime confirmedAt);

    //! Adds a page of the store's listing of \a prefix. A prefix listed by a linearizable read is
    //! watched next, so this VM can serve its changes to peers from then on; the listing includes
    //! every change until \a confirmedAt.
    void addPage(const std::string &prefix, store::ReadKind kind, const std::string &afterKey,
                 const store::StoreListing &page, BootTime confirmedAt, BootTime now);

    //! Discards the change log of \a prefix, because this VM watches the prefix through a relay
    //! from now on.
    void stopRelaying(const std::string &prefix);

    //! Adds a listing received from another VM, whose data was read from the store at \a readAt.
    void addRelayedListing(const std::string &prefix, const store::StoreListing &listing,
                           BootTime readAt);

    //! Adds a relay's response to a watch for changes after \a after, which includes every change
    //! until \a confirmedAt.
    void addRelayedChanges(const std::string &prefix, std::uint64_t after,
                           const store::StoreListing &changes, BootTime confirmedAt, BootTime now);

    //! Returns the changes under \a prefix after \a after, for a peer that has all earlier ones.
    RelayResponse changesAfter(const std::string &prefix, std::uint64_t after, BootTime now) const;

    //! Returns all items under \a prefix, for another VM, if they are no older than \a age allows.
    RelayResponse snapshot(const std::string &prefix, SnapshotAge age, BootTime now) const;

private:
    //! Records the era of \a listing; returns false if it is older than the known one.
    bool acceptsEraOf(const store::StoreListing &listing);
    void onNewEra();
    bool canServeChanges(const std::string &prefix, BootTime now) const;
    //! Returns the time since the state of \a prefix was last confirmed; without a confirmation of
    //! its own, the time since this VM last received data of the store.
    std::chrono::milliseconds ageOf(const std::string &prefix, BootTime now) const;
    //! Returns the same, with the times of recordAnsweredCall().
    std::chrono::milliseconds freshAgeOf(const std::string &prefix, BootTime now) const;
    bool isFreshEnough(const std::string &prefix, SnapshotAge age, BootTime now) const;
    bool wasListedRecently(const std::string &prefix, BootTime now) const;
    void notifyListener() const;

    std::map<std::string, ChangeLog> logs;
    std::map<std::string, PrefixSnapshot> snapshots;

    store::EraTracker eraTracker;

    //! Watched prefixes for which the store has not responded since it was last lost or restored.
    std::set<std::string> unconfirmed;

    //! Time of the store's last response to a listing, by prefix.
    std::map<std::string, BootTime> listedAt;
    std::optional<BootTime> lastResponseAt;

    //! Time until which this VM has every change, by prefix.
    std::map<std::string, BootTime> confirmedAt;

    //! When each pending watch was sent, and the time of the last call that was answered
    //! meanwhile, by prefix.
    std::map<std::string, BootTime> watchedSince;
    std::map<std::string, BootTime> freshAt;

    //! Time at which the newest data was read from the store, by this VM or by another VM.
    BootTime dataReadAt{0};
    std::function<void()> listener;
};
}
