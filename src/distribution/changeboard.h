#pragma once

#include "distribution/changelog.h"
#include "distribution/prefixcopy.h"

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
enum class CopyAge : std::uint8_t;
struct RelayAnswer;

//! What this VM can tell its neighbours of the store; does no I/O and reads no clock.
//!
//! Only what this VM hears from the store itself is told, so neighbours never follow each other in
//! a circle.
class ChangeBoard
{
public:
    //! IClock::sinceBoot(): a VM that was paused must not take what it heard before for new.
    using BootTime = std::chrono::nanoseconds;

    //! Calls \a listener when there are changes, or when this VM can no longer tell.
    void onChange(std::function<void()> listener) { this->listener = std::move(listener); }

    //! The store answered a call of this VM, or did not.
    void noteContact(BootTime now);
    void noteTrouble();

    //! True if everything under \a prefix has been heard, however long ago.
    bool knows(const std::string &prefix) const;

    //! True if the store answered a call of this VM lately.
    bool hasContact(BootTime now) const;

    //! A watch of \a prefix asks the store for changes after \a after.
    void follow(const std::string &prefix, std::uint64_t after);

    //! The store answered a watch of \a prefix that asked for changes after \a after.
    void extend(const std::string &prefix, std::uint64_t after, const store::StoreListing &changes);

    //! The store answered a listing of \a prefix. This VM will follow what is listed by a
    //! linearizable read, so it can tell neighbours of it from then on.
    void addPage(const std::string &prefix, store::ReadKind kind, const std::string &afterKey,
                 const store::StoreListing &page, BootTime now);

    //! This VM follows \a prefix through a neighbour from now on.
    void forget(const std::string &prefix);

    //! A neighbour that heard the store at \a heard answered a listing.
    void learnListing(const std::string &prefix, const store::StoreListing &listing,
                      BootTime heard);

    //! A neighbour answered a watch that asked for changes after \a after.
    void learnChanges(const std::string &prefix, std::uint64_t after,
                      const store::StoreListing &changes, BootTime now);

    //! Answers a neighbour that knows everything up to \a after.
    RelayAnswer answer(const std::string &prefix, std::uint64_t after, BootTime now) const;

    //! Hands everything under \a prefix over to a neighbour, no older than \a age allows.
    RelayAnswer copy(const std::string &prefix, CopyAge age, BootTime now) const;

private:
    bool isFollowing(const std::string &prefix, BootTime now) const;
    bool isAllowed(const std::string &prefix, CopyAge age, BootTime now) const;
    bool wasListed(const std::string &prefix, BootTime now) const;
    void tell() const;

    std::map<std::string, ChangeLog> logs;
    std::map<std::string, PrefixCopy> copies;

    //! Prefixes of which nothing was heard since the store was last lost.
    std::set<std::string> unconfirmed;

    //! When the store last answered a listing.
    std::map<std::string, BootTime> listedAt;
    std::optional<BootTime> contact;

    //! When the store was last heard, by way of neighbours too.
    BootTime heardAt{0};
    std::function<void()> listener;
};
}
