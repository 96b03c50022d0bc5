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
    this->isStarted = true;
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

void PrefixPoller::onNewEra()
{
    if (!this->isStarted) {
        return;
    }
    this->isEraOutdated = true;
    // Later, since the caller may be the handler of a call that would be cancelled.
    this->loop.after(std::chrono::milliseconds(0),
                     [this, guard = std::weak_ptr<int>(this->alive)]() {
                         if (!guard.expired()) {
                             this->relist();
                         }
                     });
}

void PrefixPoller::relist()
{
    // The response that showed the new era may have been the listing itself.
    if (!this->isEraOutdated) {
        return;
    }
    this->alive = std::make_shared<int>(0);
    this->store.cancel(this->prefix);
    this->list();
}

void PrefixPoller::onFailedPage(const StoreListing &page)
{
    if (this->isConnected) {
        this->isConnected = false;
        this->listener.onConnectionLost(page.detail);
    }
    this->finishListing();
}

void PrefixPoller::onPage(const StoreListing &page)
{
    const bool isOutdated =
        this->deliveredRevision && page.storeRevision().hasOlderEraThan(*this->deliveredRevision);
    if (page.status != StoreStatus::Ok || isOutdated) {
        this->onFailedPage(page);
        return;
    }
    if (!this->isConnected) {
        this->isConnected = true;
        this->listener.onConnectionRestored();
    }
    if (this->listedItems.empty()) {
        this->firstPageRevision = page.storeRevision();
    }
    if (!page.storeRevision().hasEraOf(this->firstPageRevision)) {
        this->list();
        return;
    }
    this->listedItems.insert(this->listedItems.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty()) {
        this->listFrom(page.items.back().key);
        return;
    }
    this->deliver();
    this->finishListing();
}

void PrefixPoller::deliver()
{
    const bool isNewEra = this->deliveredRevision
        && this->deliveredRevision->hasOlderEraThan(this->firstPageRevision);
    this->deliveredRevision = this->firstPageRevision;
    this->isEraOutdated = false;
    if (isNewEra) {
        this->listener.onEraChanged();
    }
    this->listener.onSnapshot(this->listedItems);
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
