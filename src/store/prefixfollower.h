#pragma once

#include "store/iconnectionlistener.h"
#include "store/types/followerpacing.h"
#include "store/types/storeitem.h"
#include "store/types/storerevision.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::store {
class IPrefixListener;
class IStore;
struct StoreListing;

//! Keeps a listener up to date with one prefix: lists the prefix once, then watches it, and lists
//! it again when the store has compacted the revisions that the watch needs or was restored from an
//! older copy.
class PrefixFollower : public IConnectionListener
{
public:
    PrefixFollower(IStore &store, net::IEventLoop &loop, IPrefixListener &listener,
                   std::string prefix, const FollowerPacing &pacing);
    ~PrefixFollower() override;

    void start();

    //! Checks at once, at the store itself, whether there are changes that the pending watch has
    //! not delivered. Requests in quick succession share a call.
    void confirm();

    void onStoreLost(const std::string &detail) override;
    void onStoreRestored() override;

    //! Lists the prefix again, because a response to another call has a newer era.
    void onNewEra();

    //! Sets the delays before the next watch after a response of the store and after one of a
    //! relay, from the next response on.
    void setBatchDelays(std::chrono::milliseconds delay, std::chrono::milliseconds relayedDelay)
    {
        this->pacing.batchDelay = delay;
        this->pacing.relayedBatchDelay = relayedDelay;
    }

    //! Sets the function that is called whenever the listener has received a snapshot or changes.
    void setDeliveryHandler(std::function<void()> handler)
    {
        this->deliveryHandler = std::move(handler);
    }

    //! Returns false before the first snapshot.
    bool isSynchronized() const { return this->synchronized; }
    bool isConnected() const { return this->connected; }
    StoreRevision revision() const { return this->seenRevision; }

    //! Returns the revision up to which the listener has received all changes.
    StoreRevision delivered() const { return this->deliveredRevision; }

private:
    void listFrom(const std::string &afterKey);
    void onPage(const StoreListing &page);
    //! Passes all items of the prefix, which it has at \a revision, to the listener.
    void applySnapshot(const std::vector<StoreItem> &items, const StoreRevision &revision);
    void applyStaleListing(const StoreListing &listing);
    void watch();
    void watchFor(std::chrono::milliseconds wait);
    void onWatchResponse(const StoreListing &changes);
    void onConfirmation(const StoreListing &changes);
    //! Returns true if \a changes can't be delivered because they belong to another era; the
    //! prefix is listed again if the era is newer.
    bool isOfOtherEra(const StoreListing &changes);
    void endConfirmation();
    void deliver(const StoreListing &changes);
    void notifyDelivery() const;
    void watchAgain();
    //! Cancels all calls and timers of this follower.
    void cancelCalls();
    void recordSuccess();
    void recordFailure(const StoreListing &response);
    void reportConnectionLost(const std::string &detail);
    void retryLater(void (PrefixFollower::*step)());
    void schedule(std::chrono::milliseconds delay, void (PrefixFollower::*step)());
    void restart();
    void relist();

    IStore &store;
    net::IEventLoop &loop;
    IPrefixListener &listener;
    std::string prefix;
    FollowerPacing pacing;
    StoreRevision seenRevision;
    bool synchronized = false;

    //! Revision up to which the listener has received all changes; later than seenRevision if
    //! confirm() found changes that the watch has not delivered yet.
    StoreRevision deliveredRevision;

    //! The store has a newer era than the listener's items, which must be listed again.
    bool isEraOutdated = false;

    //! False between onConnectionLost() and onConnectionRestored() of the listener. Unlike
    //! isStoreLost, it also reflects the results of this follower's own calls.
    bool connected = true;

    //! True between onStoreLost() and onStoreRestored().
    bool isStoreLost = false;
    std::chrono::milliseconds retryDelay;
    std::function<void()> deliveryHandler;

    //! Items of the pages received so far, while the prefix is listed.
    std::vector<StoreItem> listedItems;
    StoreRevision firstPageRevision;
    std::chrono::steady_clock::time_point firstPageConfirmedAt;

    //! A call of confirm() is running or ended a moment ago.
    bool isConfirming = false;
    bool isConfirmationRequested = false;

    //! Replaced when the running call is cancelled, so that late responses and timers are ignored.
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
