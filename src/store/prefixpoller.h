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

//! Lists a prefix now and then by stale reads, for what may be known some seconds late.
class PrefixPoller
{
public:
    PrefixPoller(IStore &store, net::IEventLoop &loop, IPrefixListener &listener,
                 std::string prefix, std::chrono::milliseconds period);

    //! Begins to list; \a onFirst is called once, after the first answer or failure.
    void start(std::function<void()> onFirst = nullptr);

private:
    void list();
    void finish();
    void listFrom(const std::string &afterKey);
    void onPage(const StoreListing &page);
    void listLater();

    IStore &store;
    net::IEventLoop &loop;
    IPrefixListener &listener;
    std::string prefix;
    std::chrono::milliseconds period;
    std::vector<StoreItem> pages;
    std::function<void()> onFirst;

    //! Expires with this object, so that late answers and timers find out.
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
