#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace radishladder::store {
struct StoreItem;

//! Receives all items under one prefix and their changes.
class IPrefixListener
{
public:
    virtual ~IPrefixListener() = default;

    //! Called with all items that exist; every key that is not in \a items does not exist.
    virtual void onSnapshot(const std::vector<StoreItem> &items) = 0;

    //! Called with changes, in the order of their revisions.
    virtual void onChanges(const std::vector<StoreItem> &items) = 0;

    //! Called when the listener has received every change that the store accepted before
    //! \a confirmedAt.
    virtual void onUpToDate(std::chrono::steady_clock::time_point /*confirmedAt*/) { }

    //! Called before the first snapshot of a store that was restored from an older copy. The copy
    //! may lack changes that the listener has received; operators and upstreams write theirs again.
    virtual void onEraChanged() { }

    //! Called when the store is unreachable or refuses calls; \a detail gives the reason.
    virtual void onConnectionLost(const std::string &detail) = 0;

    //! Called when the store responds again; the changes missed during the outage follow.
    virtual void onConnectionRestored() = 0;
};
}
