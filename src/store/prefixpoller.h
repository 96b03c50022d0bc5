#pragma once

#include "store/types/storeitem.h"
#include "store/types/storerevision.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::store {
class IPrefixListener;
class IStore;
struct StoreListing;

//! Lists a prefix periodically by stale reads, for data that may be some seconds out of date. The
//! listener receives a snapshot after each listing, onConnectionLost() after the first of several
//! failures and onConnectionRestored() after the next success.
class PrefixPoller
{
public:
    PrefixPoller(IStore &store, net::IEventLoop &loop, IPrefixListener &listener,
                 std::string prefix, std::chrono::milliseconds period);

    //! Starts the periodic listings; \a onFirstResult is called once, after the first response or
    //! failure.
    void start(std::function<void()> onFirstResult = nullptr);

    //! Lists at once, because a response to another call has a newer era.
    void onNewEra();

private:
    void list();
    void finishListing();
    void listFrom(const std::string &afterKey);
    void onPage(const StoreListing &page);
    void onFailedPage(const StoreListing &page);
    void deliver();
    void relist();
    void listLater();

    IStore &store;
    net::IEventLoop &loop;
    IPrefixListener &listener;
    std::string prefix;
    std::chrono::milliseconds period;
    std::vector<StoreItem> listedItems;
    StoreRevision firstPageRevision;

    //! Revision of the last snapshot; std::nullopt before the first one.
    std::optional<StoreRevision> deliveredRevision;
    bool isStarted = false;

    //! The store has a newer era than the last snapshot.
    bool isEraOutdated = false;
    bool isConnected = true;
    std::function<void()> onFirstResult;

    //! Replaced when the running listing is cancelled, so that late responses and timers are
    //! ignored.
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
