#include "store/prefixfollower.h"

#include "net/ieventloop.h"
#include "store/iprefixlistener.h"
#include "store/istore.h"
#include "store/types/readkind.h"
#include "store/types/storelisting.h"

#include <algorithm>

namespace radishladder::store {
namespace {
constexpr std::chrono::milliseconds kProbeWait{1};
}

PrefixFollower::PrefixFollower(IStore &store, net::IEventLoop &loop, IPrefixListener &listener,
                               std::string prefix, const FollowerPacing &pacing)
    : store(store), loop(loop), listener(listener), prefix(std::move(prefix)), pacing(pacing),
      retryDelay(pacing.firstRetry)
{ }

PrefixFollower::~PrefixFollower() = default;

void PrefixFollower::start()
{
    this->restart();
}

void PrefixFollower::restart()
{
    this->pages.clear();
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

void PrefixFollower::onPage(const StoreListing &page)
{
    if (page.status != StoreStatus::Ok) {
        this->noteFailure(page);
        this->retryLater(&PrefixFollower::restart);
        return;
    }
    if (page.age) {
        this->useOld(page);
        return;
    }
    this->noteSuccess();
    // Pages are no snapshot: the watch starts at the first page's revision and repeats what the
    // later pages already show.
    if (this->pages.empty()) {
        this->firstPageRevision = page.revision;
    }
    this->pages.insert(this->pages.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty()) {
        this->listFrom(page.items.back().key);
        return;
    }
    const std::vector<StoreItem> items = std::move(this->pages);
    this->pages.clear();
    this->seenRevision = this->firstPageRevision;
    this->synchronized = true;
    this->listener.onSnapshot(items);
    this->listener.onUpToDate();
    this->schedule(page.isRelayed ? this->pacing.relayedGather : this->pacing.gather,
                   &PrefixFollower::watch);
}

void PrefixFollower::useOld(const StoreListing &listing)
{
    this->seenRevision = listing.revision;
    this->synchronized = true;
    this->listener.onSnapshot(listing.items);
    this->loseContact("the store has not confirmed what a neighbour handed over");
    this->retryLater(&PrefixFollower::watch);
}

void PrefixFollower::watch()
{
    // After trouble the first answer must come at once, changes or not: it tells that the store is
    // back.
    this->watchFor(this->contact ? this->pacing.watchWait : kProbeWait);
}

void PrefixFollower::watchFor(std::chrono::milliseconds wait)
{
    this->store.watch(this->prefix, this->seenRevision, wait,
                      [this, guard = std::weak_ptr<int>(this->alive)](const StoreListing &changes) {
                          if (!guard.expired()) {
                              this->onWatched(changes);
                          }
                      });
}

void PrefixFollower::onWatched(const StoreListing &changes)
{
    if (changes.status == StoreStatus::Compacted) {
        this->noteSuccess();
        this->restart();
        return;
    }
    if (changes.status != StoreStatus::Ok) {
        this->noteFailure(changes);
        this->retryLater(&PrefixFollower::watch);
        return;
    }
    this->noteSuccess();
    this->seenRevision = std::max(this->seenRevision, changes.revision);
    if (changes.items.empty()) {
        this->listener.onUpToDate();
        this->watch();
        return;
    }
    this->listener.onChanges(changes.items);
    this->listener.onUpToDate();
    this->schedule(changes.isRelayed ? this->pacing.relayedGather : this->pacing.gather,
                   &PrefixFollower::watch);
}

void PrefixFollower::noteSuccess()
{
    this->retryDelay = this->pacing.firstRetry;
    if (!this->contact) {
        this->contact = true;
        this->listener.onContactRegained();
    }
}

void PrefixFollower::noteFailure(const StoreListing &answer)
{
    if (this->contact) {
        this->loseContact(answer.detail);
    } else {
        this->retryDelay = std::min(this->retryDelay * 2, this->pacing.longestRetry);
    }
}

void PrefixFollower::loseContact(const std::string &detail)
{
    this->contact = false;
    this->listener.onContactLost(detail);
}

void PrefixFollower::onStoreTrouble(const std::string &detail)
{
    this->inTrouble = true;
    if (this->synchronized && this->contact) {
        this->loseContact(detail);
    }
}

void PrefixFollower::onStoreReturned()
{
    this->inTrouble = false;
    this->alive = std::make_shared<int>(0);
    this->store.abandon(this->prefix);
    this->retryDelay = this->pacing.firstRetry;
    if (this->synchronized) {
        this->watch();
    } else {
        this->restart();
    }
}

void PrefixFollower::retryLater(void (PrefixFollower::*step)())
{
    // Load pattern: all VMs call a store that refuses or is silent. Renewals of leases, which cost
    // a tenth, find out when it is back.
    if (!this->inTrouble) {
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
