#include "store/prefixpoller.h"

#include "net/ieventloop.h"
#include "store/iprefixlistener.h"
#include "store/istore.h"
#include "store/types/readkind.h"
#include "store/types/storelisting.h"

namespace radishladder::store {
PrefixPoller::PrefixPoller(IStore &store, net::IEventLoop &loop, IPrefixListener &listener,
                           std::string prefix, std::chrono::milliseconds period)
    : store(store), loop(loop), listener(listener), prefix(std::move(prefix)), period(period)
{ }

void PrefixPoller::start(std::function<void()> onFirstResult)
{
    this->onFirstResult = std::move(onFirstResult);
    this->list();
}

void PrefixPoller::list()
{
    this->listedItems.clear();
    this->listFrom("");
}

void PrefixPoller::listFrom(const std::string &afterKey)
{
    this->store.list(this->prefix, afterKey, ReadKind::Stale,
                     [this, guard = std::weak_ptr<int>(this->alive)](const StoreListing &page) {
                         if (!guard.expired()) {
                             this->onPage(page);
                         }
                     });
}

void PrefixPoller::onPage(const StoreListing &page)
{
    if (page.status != StoreStatus::Ok) {
        if (this->isConnected) {
            this->isConnected = false;
            this->listener.onConnectionLost(page.detail);
        }
        this->finishListing();
        return;
    }
    if (!this->isConnected) {
        this->isConnected = true;
        this->listener.onConnectionRestored();
    }
    this->listedItems.insert(this->listedItems.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty()) {
        this->listFrom(page.items.back().key);
        return;
    }
    this->listener.onSnapshot(this->listedItems);
    this->finishListing();
}

void PrefixPoller::finishListing()
{
    if (this->onFirstResult) {
        const auto once = std::move(this->onFirstResult);
        this->onFirstResult = nullptr;
        once();
    }
    this->listLater();
}

void PrefixPoller::listLater()
{
    this->loop.after(this->period, [this, guard = std::weak_ptr<int>(this->alive)]() {
        if (!guard.expired()) {
            this->list();
        }
    });
}
}
