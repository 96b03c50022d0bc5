#include "distribution/fanoutstore.h"

#include "distribution/changecache.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotage.h"
#include "global/iclock.h"
#include "net/ieventloop.h"
#include "net/query.h"
#include "net/types/httprequest.h"
#include "store/types/readkind.h"
#include "store/types/storelease.h"
#include "store/types/storelisting.h"
#include "store/types/storewrite.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace radishladder::distribution {
namespace {
using store::StoreStatus;

//! Longest wait of a watch at a relay. With the margin, it bounds how long a relay that is paused
//! or unreachable delays changes.
constexpr std::chrono::milliseconds kRelayWatchWait{1000};
constexpr std::chrono::milliseconds kRelayTimeoutMargin{600};

//! A VM that starts also sends a listing to the store if the relay takes longer.
constexpr std::chrono::milliseconds kStoreFallbackDelay{25};

//! Longest time that a relay takes to send a listing.
constexpr std::chrono::milliseconds kListingTimeout{250};
}

struct FanoutStore::Listing
{
    std::string prefix;
    std::string afterKey;
    store::ReadKind kind = store::ReadKind::Linearizable;
    ListingHandler handler;
    std::shared_ptr<bool> isDone;
    std::shared_ptr<bool> isStoreQueried;
};

struct FanoutStore::Watch
{
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds wait{0};
    ListingHandler handler;
};

FanoutStore::FanoutStore(store::IStore &platform, ChangeCache &cache, net::IEventLoop &loop,
                         const IClock &clock, telemetry::IEventLog &log,
                         const RelayClient::ConnectionFactory &connect, VmName self,
                         std::vector<net::Endpoint> seeds)
    : platform(platform), cache(cache), loop(loop), clock(clock),
      relays(clock, log, connect, std::move(self)),
      startLister(platform, clock, log, connect, std::move(seeds))
{ }

FanoutStore::~FanoutStore() = default;

void FanoutStore::list(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
                       ListingHandler handler)
{
    const Listing listing = this->beginListing(prefix, afterKey, kind, std::move(handler));
    const auto relay =
        afterKey.empty() && !this->isStoreLost ? this->relays.nextRelay() : std::nullopt;
    if (relay) {
        this->listFromRelay(*relay, listing);
        if (kind == store::ReadKind::Linearizable) {
            this->loop.after(kStoreFallbackDelay,
                             [this, listing]() { this->listFromStore(listing); });
        }
    } else {
        this->listFromStore(listing);
    }
}

FanoutStore::Listing FanoutStore::beginListing(const std::string &prefix,
                                               const std::string &afterKey, store::ReadKind kind,
                                               ListingHandler handler)
{
    auto isDone = std::make_shared<bool>(false);
    this->listingDone[prefix] = isDone;
    return {prefix, afterKey, kind, std::move(handler), isDone, std::make_shared<bool>(false)};
}

void FanoutStore::listFromStore(const Listing &listing)
{
    if (*listing.isDone || *listing.isStoreQueried) {
        return;
    }
    *listing.isStoreQueried = true;
    const auto handler = [this, listing](const store::StoreListing &page) {
        this->onPage(listing, page);
    };
    const bool isStart = listing.afterKey.empty() && listing.kind == store::ReadKind::Linearizable
        && !this->cache.hasSnapshot(listing.prefix);
    if (isStart) {
        this->startLister.list(listing.prefix, handler);
    } else {
        this->platform.list(listing.prefix, listing.afterKey, listing.kind, handler);
    }
}

void FanoutStore::onPage(const Listing &listing, const store::StoreListing &page)
{
    if (*listing.isDone) {
        return;
    }
    *listing.isDone = true;
    const auto now = this->clock.timeSinceBoot();
    if (page.age) {
        this->cache.addRelayedListing(listing.prefix, page, now - *page.age);
    } else if (page.status == StoreStatus::Ok) {
        this->cache.addPage(listing.prefix, listing.kind, listing.afterKey, page, now);
    }
    listing.handler(page);
}

void FanoutStore::listFromRelay(const net::Endpoint &relay, const Listing &listing)
{
    const SnapshotAge age =
        listing.kind == store::ReadKind::Stale ? SnapshotAge::Polled : SnapshotAge::New;
    const net::HttpRequest request{.path = std::string(kListingPath),
                                   .query = listingQuery(listing.prefix, age),
                                   .timeout = kListingTimeout};
    this->relays.send(relay, listing.prefix, request,
                      [this, listing](const std::optional<RelayResponse> &response) {
                          if (!response || response->outcome == RelayOutcome::AskStore) {
                              this->listFromStore(listing);
                              return;
                          }
                          if (*listing.isDone) {
                              return;
                          }
                          *listing.isDone = true;
                          this->startLister.abandon(listing.prefix);
                          this->cache.addRelayedListing(listing.prefix, response->listing,
                                                        this->clock.timeSinceBoot()
                                                            - response->age);
                          listing.handler(response->listing);
                      });
}

void FanoutStore::watch(const std::string &prefix, std::uint64_t revision,
                        std::chrono::milliseconds wait, ListingHandler handler)
{
    const Watch watch{prefix, revision, wait, std::move(handler)};
    const auto relay = this->isStoreLost ? std::nullopt : this->relays.nextRelay();
    if (relay) {
        this->watchThroughRelay(*relay, watch);
    } else {
        this->watchAtStore(watch);
    }
}

void FanoutStore::watchAtStore(const Watch &watch)
{
    // From here on the cache can respond to peers that nothing has changed.
    this->cache.recordWatch(watch.prefix, watch.revision);
    this->platform.watch(watch.prefix, watch.revision, watch.wait,
                         [this, watch](const store::StoreListing &response) {
                             if (response.status == StoreStatus::Ok) {
                                 this->cache.recordResponse(this->clock.timeSinceBoot());
                                 this->cache.addChanges(watch.prefix, watch.revision, response);
                             }
                             watch.handler(response);
                         });
}

void FanoutStore::watchThroughRelay(const net::Endpoint &relay, const Watch &watch)
{
    this->cache.stopRelaying(watch.prefix);
    const net::HttpRequest request{
        .path = std::string(kChangesPath),
        .query =
            absl::StrCat("prefix=", net::percentEncoded(watch.prefix), "&after=", watch.revision,
                         "&wait_ms=", std::min(watch.wait, kRelayWatchWait).count()),
        .timeout = kRelayWatchWait + kRelayTimeoutMargin};
    this->relays.send(
        relay, watch.prefix, request, [this, watch](const std::optional<RelayResponse> &response) {
            if (!response || response->outcome == RelayOutcome::AskStore) {
                this->watchAtStore(watch);
                return;
            }
            this->cache.addRelayedChanges(watch.prefix, watch.revision, response->listing,
                                          this->clock.timeSinceBoot());
            watch.handler(response->listing);
        });
}

void FanoutStore::abandon(const std::string &prefix)
{
    this->relays.abandon(prefix);
    const auto open = this->listingDone.find(prefix);
    if (open != this->listingDone.end()) {
        *open->second = true;
    }
    this->startLister.abandon(prefix);
    this->platform.abandon(prefix);
}

void FanoutStore::grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler)
{
    this->platform.grantLease(timeToLive, std::move(handler));
}

void FanoutStore::renewLease(std::uint64_t lease, LeaseHandler handler)
{
    this->platform.renewLease(
        lease, [this, handler = std::move(handler)](const store::StoreLease &renewed) {
            if (renewed.status == StoreStatus::Ok) {
                this->cache.recordResponse(this->clock.timeSinceBoot());
            }
            handler(renewed);
        });
}

void FanoutStore::endLease(std::uint64_t lease, StatusHandler handler)
{
    this->platform.endLease(lease, std::move(handler));
}

void FanoutStore::write(const store::StoreWrite &write, StatusHandler handler)
{
    this->platform.write(write, std::move(handler));
}

void FanoutStore::onStoreLost(const std::string &)
{
    this->isStoreLost = true;
    this->cache.recordStoreLost();
}

void FanoutStore::onStoreRestored()
{
    this->isStoreLost = false;
}

void FanoutStore::tick()
{
    this->startLister.tick(this->isStoreLost);
    this->relays.tick(this->isStoreLost);
}
}
