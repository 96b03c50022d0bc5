#include "store/prefixfollower.h"

#include "net/ieventloop.h"
#include "store/iprefixlistener.h"
#include "store/istore.h"
#include "store/types/readkind.h"
#include "store/types/storelisting.h"

#include <algorithm>
#include <iterator>

namespace radishladder::store {
namespace {
//! Shortest time between two calls of confirm().
constexpr std::chrono::milliseconds kConfirmationInterval{250};
}

PrefixFollower::PrefixFollower(IStore &store, net::IEventLoop &loop, IPrefixListener &listener,
                               std::string prefix, const FollowerPacing &pacing)
    : store(store), loop(loop), listener(listener), prefix(std::move(prefix)), pacing(pacing),
      retryDelay(pacing.firstRetryDelay)
{ }

PrefixFollower::~PrefixFollower() = default;

void PrefixFollower::start()
{
    this->restart();
}

void PrefixFollower::restart()
{
    this->listedItems.clear();
    this->listFrom("");
}

void PrefixFollower::listFrom(const std::string &afterKey)
{
    this->store.list(this->prefix, afterKey, ReadKind::Linearizable,
                     [this, guard = std::weak_ptr<int>(this->alive)](const StoreListing &page) {
                         if (!guard.expired()) {
                             this->onPage(page);
                         }
                     });
}

void PrefixFollower::relist()
{
    // The response that showed the new era may have been the listing itself.
    if (this->isEraOutdated) {
        this->cancelCalls();
        this->restart();
    }
}

void PrefixFollower::onNewEra()
{
    // A listing that is in progress is checked page by page.
    if (this->synchronized) {
        this->isEraOutdated = true;
        // Later, since the caller may be the handler of a call that would be cancelled.
        this->schedule(std::chrono::milliseconds(0), &PrefixFollower::relist);
    }
}

void PrefixFollower::onPage(const StoreListing &page)
{
    const bool isOutdated = page.storeRevision().hasOlderEraThan(this->seenRevision);
    if (page.status != StoreStatus::Ok || isOutdated) {
        this->recordFailure(page);
        this->retryLater(&PrefixFollower::restart);
        return;
    }
    if (page.age) {
        this->applyStaleListing(page);
        return;
    }
    this->recordSuccess();
    // Pages are read at different revisions: the watch starts at the revision of the first page and
    // returns again the changes that later pages already contain.
    if (this->listedItems.empty()) {
        this->firstPageRevision = page.storeRevision();
        this->firstPageConfirmedAt = page.confirmedAt;
    }
    if (!page.storeRevision().hasEraOf(this->firstPageRevision)) {
        this->restart();
        return;
    }
    this->listedItems.insert(this->listedItems.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty()) {
        this->listFrom(page.items.back().key);
        return;
    }
    const std::vector<StoreItem> items = std::move(this->listedItems);
    this->listedItems.clear();
    this->applySnapshot(items, this->firstPageRevision);
    this->listener.onUpToDate(this->firstPageConfirmedAt);
    this->notifyDelivery();
    this->schedule(page.isRelayed ? this->pacing.relayedBatchDelay : this->pacing.batchDelay,
                   &PrefixFollower::watch);
}

void PrefixFollower::applySnapshot(const std::vector<StoreItem> &items,
                                   const StoreRevision &revision)
{
    const bool isNewEra = this->synchronized && this->seenRevision.hasOlderEraThan(revision);
    this->seenRevision = revision;
    this->deliveredRevision = revision;
    this->synchronized = true;
    this->isEraOutdated = false;
    if (isNewEra) {
        this->listener.onEraChanged();
    }
    this->listener.onSnapshot(items);
}

void PrefixFollower::applyStaleListing(const StoreListing &listing)
{
    this->applySnapshot(listing.items, listing.storeRevision());
    this->reportConnectionLost("the store has not confirmed the snapshot from another VM");
    this->retryLater(&PrefixFollower::watch);
}

void PrefixFollower::watch()
{
    if (this->isEraOutdated) {
        this->restart();
        return;
    }
    // After an outage the first watch must return at once, with or without changes, because its
    // response shows that the store is reachable again.
    this->watchFor(this->connected ? this->pacing.watchWait : IStore::kMinWatchWait);
}

void PrefixFollower::watchFor(std::chrono::milliseconds wait)
{
    this->store.watch(this->prefix, this->seenRevision.revision, wait,
                      [this, guard = std::weak_ptr<int>(this->alive)](const StoreListing &changes) {
                          if (!guard.expired()) {
                              this->onWatchResponse(changes);
                          }
                      });
}

void PrefixFollower::onWatchResponse(const StoreListing &changes)
{
    if (changes.status == StoreStatus::Compacted) {
        this->recordSuccess();
        this->restart();
        return;
    }
    if (changes.status != StoreStatus::Ok) {
        this->recordFailure(changes);
        this->retryLater(&PrefixFollower::watch);
        return;
    }
    if (this->isOfOtherEra(changes)) {
        return;
    }
    this->recordSuccess();
    this->seenRevision = std::max(this->seenRevision, changes.storeRevision());
    this->deliver(changes);
    if (changes.items.empty()) {
        this->watch();
        return;
    }
    this->schedule(changes.isRelayed ? this->pacing.relayedBatchDelay : this->pacing.batchDelay,
                   &PrefixFollower::watch);
}

bool PrefixFollower::isOfOtherEra(const StoreListing &changes)
{
    if (changes.storeRevision().hasEraOf(this->seenRevision)) {
        return false;
    }
    if (changes.storeRevision().hasOlderEraThan(this->seenRevision)) {
        this->recordFailure(changes);
        this->retryLater(&PrefixFollower::watchAgain);
    } else {
        this->onNewEra();
    }
    return true;
}

void PrefixFollower::deliver(const StoreListing &changes)
{
    std::vector<StoreItem> undelivered;
    std::ranges::copy_if(
        changes.items, std::back_inserter(undelivered),
        [this](const StoreItem &item) { return item.revision > this->deliveredRevision.revision; });
    this->deliveredRevision = std::max(this->deliveredRevision, changes.storeRevision());
    if (!undelivered.empty()) {
        this->listener.onChanges(undelivered);
    }
    this->listener.onUpToDate(changes.confirmedAt);
    this->notifyDelivery();
}

void PrefixFollower::notifyDelivery() const
{
    if (this->deliveryHandler) {
        this->deliveryHandler();
    }
}

void PrefixFollower::confirm()
{
    // While the connection is lost, each response of the store already follows a call made for it.
    if (!this->synchronized || !this->connected || this->isStoreLost || this->isEraOutdated) {
        return;
    }
    if (this->isConfirming) {
        this->isConfirmationRequested = true;
        return;
    }
    this->isConfirming = true;
    this->isConfirmationRequested = false;
    this->store.readChanges(
        this->prefix, this->seenRevision.revision,
        [this, guard = std::weak_ptr<int>(this->alive)](const StoreListing &changes) {
            if (!guard.expired()) {
                this->onConfirmation(changes);
            }
        });
}

void PrefixFollower::onConfirmation(const StoreListing &changes)
{
    // The pending watch delivers the same changes again, so the next watch still starts at
    // seenRevision.
    if (changes.status == StoreStatus::Ok && this->isOfOtherEra(changes)) {
        return;
    }
    if (changes.status == StoreStatus::Ok) {
        this->deliver(changes);
        this->schedule(kConfirmationInterval, &PrefixFollower::endConfirmation);
        return;
    }
    // A watch that was sent to the same store may never get a response either.
    if (changes.status != StoreStatus::Compacted) {
        this->recordFailure(changes);
    }
    this->schedule(std::chrono::milliseconds(0), &PrefixFollower::watchAgain);
}

void PrefixFollower::endConfirmation()
{
    this->isConfirming = false;
    if (this->isConfirmationRequested) {
        this->confirm();
    }
}

void PrefixFollower::watchAgain()
{
    this->cancelCalls();
    this->watch();
}

void PrefixFollower::cancelCalls()
{
    this->alive = std::make_shared<int>(0);
    this->isConfirming = false;
    this->isConfirmationRequested = false;
    this->store.cancel(this->prefix);
}

void PrefixFollower::recordSuccess()
{
    this->retryDelay = this->pacing.firstRetryDelay;
    if (!this->connected) {
        this->connected = true;
        this->listener.onConnectionRestored();
    }
}

void PrefixFollower::recordFailure(const StoreListing &response)
{
    if (this->connected) {
        this->reportConnectionLost(response.detail);
    } else {
        this->retryDelay = std::min(this->retryDelay * 2, this->pacing.maxRetryDelay);
    }
}

void PrefixFollower::reportConnectionLost(const std::string &detail)
{
    this->connected = false;
    this->listener.onConnectionLost(detail);
}

void PrefixFollower::onStoreLost(const std::string &detail)
{
    this->isStoreLost = true;
    if (this->synchronized && this->connected) {
        this->reportConnectionLost(detail);
    }
}

void PrefixFollower::onStoreRestored()
{
    this->isStoreLost = false;
    this->cancelCalls();
    this->retryDelay = this->pacing.firstRetryDelay;
    if (this->synchronized) {
        this->watch();
    } else {
        this->restart();
    }
}

void PrefixFollower::retryLater(void (PrefixFollower::*step)())
{
    // Load pattern: all VMs retry against a store that refuses calls or does not respond. The
    // follower does not retry while the store is lost: lease renewals, which cost the store a tenth
    // of a linearizable read, detect when the store is available again.
    if (!this->isStoreLost) {
        this->schedule(this->retryDelay, step);
    }
}

void PrefixFollower::schedule(std::chrono::milliseconds delay, void (PrefixFollower::*step)())
{
    this->loop.after(delay, [this, step, guard = std::weak_ptr<int>(this->alive)]() {
        if (!guard.expired()) {
            (this->*step)();
        }
    });
}
}
