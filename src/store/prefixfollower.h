#pragma once

#include "store/icontactlistener.h"
#include "store/types/followerpacing.h"
#include "store/types/storeitem.h"

#include <chrono>
#include <cstdint>
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

//! Keeps a listener up to date with one prefix: lists it once, then watches, and lists again when
//! the history that it needs is gone.
class PrefixFollower : public IContactListener
{
public:
    PrefixFollower(IStore &store, net::IEventLoop &loop, IPrefixListener &listener,
                   std::string prefix, const FollowerPacing &pacing);
    ~PrefixFollower() override;

    void start();

    void onStoreTrouble(const std::string &detail) override;
    void onStoreReturned() override;

    //! False before the first snapshot.
    bool isSynchronized() const { return this->synchronized; }
    bool hasContact() const { return this->contact; }
    std::uint64_t revision() const { return this->seenRevision; }

private:
    void listFrom(const std::string &afterKey);
    void onPage(const StoreListing &page);
    void useOld(const StoreListing &listing);
    void watch();
    void watchFor(std::chrono::milliseconds wait);
    void onWatched(const StoreListing &changes);
    void noteSuccess();
    void noteFailure(const StoreListing &answer);
    void loseContact(const std::string &detail);
    void retryLater(void (PrefixFollower::*step)());
    void schedule(std::chrono::milliseconds delay, void (PrefixFollower::*step)());
    void restart();

    IStore &store;
    net::IEventLoop &loop;
    IPrefixListener &listener;
    std::string prefix;
    FollowerPacing pacing;
    std::uint64_t seenRevision = 0;
    bool synchronized = false;
    bool contact = true;

    //! Said to be in trouble, and not yet to be back.
    bool inTrouble = false;
    std::chrono::milliseconds retryDelay;
    std::vector<StoreItem> pages;
    std::uint64_t firstPageRevision = 0;

    //! Replaced when the running call is given up, so that late answers and timers find out.
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
