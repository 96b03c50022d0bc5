#pragma once

#include "store/types/storeitem.h"

#include <chrono>
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

private:
    void list();
    void finishListing();
    void listFrom(const std::string &afterKey);
    void onPage(const StoreListing &page);
    void listLater();

    IStore &store;
    net::IEventLoop &loop;
    IPrefixListener &listener;
    std::string prefix;
    std::chrono::milliseconds period;
    std::vector<StoreItem> listedItems;
    bool isConnected = true;
    std::function<void()> onFirstResult;

    //! Expires with this object, so that late responses and timers are ignored.
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
