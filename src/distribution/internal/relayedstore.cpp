#include "distribution/relayedstore.h"

#include "distribution/changecache.h"
#include "distribution/internal/relaydeadlines.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/relayera.h"
#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotage.h"
#include "global/iclock.h"
#include "net/ieventloop.h"
#include "net/types/httprequest.h"
#include "store/types/readkind.h"
#include "store/types/storelease.h"
#include "store/types/storelisting.h"
#include "store/types/storewrite.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
using store::StoreLease;
using store::StoreListing;
using store::StoreStatus;

//! If a relay takes longer to respond to a linearizable listing, the VM also lists from the store,
//! so that a failed relay delays the start of the VM only briefly.
constexpr std::chrono::milliseconds kStoreFallbackDelay{25};

//! A relay that starts together with this VM is requested again after this time, until it responds
//! or kMaxRelayRequests are reached.
constexpr std::chrono::milliseconds kRelayRetryDelay{30};
constexpr std::size_t kMaxRelayRequests = 8;

//! A VM that reaches the store or a relay receives data more often than this. Detects an outage
//! sooner than lease renewals do; an offer of snapshots that turns out to be needless costs one
//! request.
constexpr std::chrono::milliseconds kMaxDataAge{2300};
constexpr std::chrono::milliseconds kMaxRelayedDataAge{1400};

//! Timeout of a listing request: the longest time that a relay takes to send a listing.
constexpr std::chrono::milliseconds kListingTimeout{250};

//! Longest time until a listing has arrived completely. The store is queried beside the relay.
constexpr std::chrono::milliseconds kMaxListingDuration{2000};

//! Returns true if \a response shows the era of the store: not if there was none, or a proxy
//! refused the call.
template <typename Response>
bool showsEra(const Response &response)
{
    return response.status != StoreStatus::Unknown
        && (response.status != StoreStatus::Refused || response.era > 0);
}

//! Returns \a listing with the time until which it includes all changes.
store::StoreListing confirmedListing(store::StoreListing listing,
                                     std::chrono::steady_clock::time_point confirmedAt)
{
    listing.confirmedAt = confirmedAt;
    return listing;
}
}

struct RelayedStore::ListingState
{
    //! The listing is finished or cancelled.
    bool isDone = false;
    bool isStoreQueried = false;
    std::size_t relayRequests = 0;
};

//! A pending listing; its copies in callbacks share the state.
struct RelayedStore::Listing
{
    std::string prefix;
    std::string afterKey;
    store::ReadKind kind = store::ReadKind::Linearizable;
    ListingHandler handler;
    std::shared_ptr<ListingState> state;
};

//! The times at which a call is sent, on both clocks.
struct RelayedStore::SendTime
{
    std::chrono::steady_clock::time_point steady;
    ChangeCache::BootTime boot;
};

struct RelayedStore::Watch
{
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds wait{0};
    ListingHandler handler;

    //! A relay has failed to serve the watch; another one is queried without a wait.
    bool isSecondTry = false;
};

RelayedStore::RelayedStore(store::IStore &store, ChangeCache &cache, net::IEventLoop &loop,
                           const IClock &clock, telemetry::IEventLog &log,
                           const RelayClient::ConnectionFactory &connect, VmName self,
                           std::vector<net::Endpoint> seeds)
    : store(store), cache(cache), loop(loop), clock(clock), relayClient(clock, log, connect, self),
      startLister(store, clock, log, connect, std::move(seeds)),
      snapshotOfferer(clock, connect, std::move(self)),
      deadlines(std::make_unique<RelayDeadlines>())
{
    this->relayClient.setEraTracker(this->eraTracker);
    this->startLister.setEraTracker(this->eraTracker);
    this->eraTracker.addListener(
        [this](std::uint64_t, std::uint64_t newEra) { this->cache.recordEra(newEra); });
}

RelayedStore::~RelayedStore() = default;

void RelayedStore::setBudget(const std::string &prefix, const store::DelayBudget &budget)
{
    this->deadlines->setBudget(prefix, budget);
}

StoreListing RelayedStore::checked(const StoreListing &response, TimePoint sentAt)
{
    if (!showsEra(response) || response.age || this->acceptEraOf(response.era, sentAt)) {
        return response;
    }
    return {.detail = this->eraTracker.rejectionDetail(response.era)};
}

StoreLease RelayedStore::checked(const StoreLease &response, TimePoint sentAt)
{
    if (!showsEra(response) || this->acceptEraOf(response.era, sentAt)) {
        return response;
    }
    return {.detail = this->eraTracker.rejectionDetail(response.era)};
}

bool RelayedStore::acceptEraOf(std::uint64_t era, TimePoint sentAt)
{
    if (!this->eraTracker.accept(era)) {
        return false;
    }
    this->eraShownAt = std::max(this->eraShownAt, sentAt);
    return true;
}

RelayedStore::TimePoint RelayedStore::confirmationOf(const RelayResponse &response,
                                                     const SendTime &sent) const
{
    const TimePoint confirmedAt = sent.steady - response.age;
    if (response.hasEra || this->eraTracker.newestEra().value_or(0) == 0) {
        return confirmedAt;
    }
    // A relay of the release before responds to a revision of the known era although the store may
    // have been restored since that era was last shown.
    return std::min(confirmedAt, this->eraShownAt);
}

bool RelayedStore::hasLiveRelay() const
{
    // Behind a relay of the release before, the lease renewals show a restore first.
    const bool hasEras = this->eraTracker.newestEra().value_or(0) > 0;
    return this->relayClient.hasLiveRelay() && (this->relayClient.showsEras() || !hasEras);
}

void RelayedStore::list(const std::string &prefix, const std::string &afterKey,
                        store::ReadKind kind, ListingHandler handler)
{
    const Listing listing = this->beginListing(prefix, afterKey, kind, std::move(handler));
    // A relay sends complete listings, so the further pages of a listing come from the store.
    const auto relay =
        afterKey.empty() && !this->isStoreLost ? this->relayClient.nextRelay() : std::nullopt;
    if (relay) {
        this->listFromRelay(*relay, listing);
        if (kind == store::ReadKind::Linearizable) {
            this->loop.after(kStoreFallbackDelay, [this, relay = *relay, listing]() {
                this->listFromFurtherSources(relay, listing);
            });
        }
    } else {
        this->listFromStore(listing);
    }
}

RelayEra RelayedStore::requestEra() const
{
    return RelayEra::of(this->eraTracker.newestEra());
}

RelayedStore::SendTime RelayedStore::sendTime() const
{
    return {this->clock.now(), this->clock.timeSinceBoot()};
}

RelayedStore::Listing RelayedStore::beginListing(const std::string &prefix,
                                                 const std::string &afterKey, store::ReadKind kind,
                                                 ListingHandler handler)
{
    auto state = std::make_shared<ListingState>();
    this->listings[prefix] = state;
    return {prefix, afterKey, kind, std::move(handler), std::move(state)};
}

void RelayedStore::listFromStore(const Listing &listing)
{
    if (listing.state->isDone || listing.state->isStoreQueried) {
        return;
    }
    listing.state->isStoreQueried = true;
    const auto handler = [this, listing, sent = this->sendTime()](const store::StoreListing &page) {
        this->onPage(listing, this->checked(page, sent.steady), sent);
    };
    const bool isFirstListing =
        listing.afterKey.empty() && !this->cache.hasSnapshot(listing.prefix);
    if (isFirstListing) {
        this->startLister.list(listing.prefix, listing.kind, handler);
    } else {
        this->store.list(listing.prefix, listing.afterKey, listing.kind, handler);
    }
}

void RelayedStore::onPage(const Listing &listing, const store::StoreListing &page,
                          const SendTime &sent)
{
    if (listing.state->isDone) {
        return;
    }
    listing.state->isDone = true;
    const auto now = this->clock.timeSinceBoot();
    if (page.age) {
        this->cache.addRelayedListing(listing.prefix, page, now - *page.age);
    } else if (page.status == StoreStatus::Ok) {
        this->cache.addPage(listing.prefix, listing.kind, listing.afterKey, page, sent.boot, now);
        if (listing.kind == store::ReadKind::Linearizable && listing.afterKey.empty()) {
            this->deadlines->recordFresh(listing.prefix, sent.steady);
        }
    }
    const bool isConfirmed = !page.age && listing.kind == store::ReadKind::Linearizable;
    listing.handler(isConfirmed ? confirmedListing(page, sent.steady) : page);
}

void RelayedStore::listFromRelay(const net::Endpoint &relay, const Listing &listing)
{
    const SnapshotAge age =
        listing.kind == store::ReadKind::Stale ? SnapshotAge::Polled : SnapshotAge::New;
    const net::HttpRequest request{.path = std::string(kListingPath),
                                   .query = listingQuery(listing.prefix, age, this->requestEra()),
                                   .timeout = kListingTimeout,
                                   .maxDuration = kMaxListingDuration};
    ++listing.state->relayRequests;
    this->relayClient.send(relay, listing.prefix, request,
                           [this, relay, listing,
                            sent = this->sendTime()](const std::optional<RelayResponse> &response) {
                               if (!response || response->outcome == RelayOutcome::QueryStore) {
                                   this->onRelayFailed(relay, listing);
                               } else {
                                   this->onRelayListing(listing, *response, sent);
                               }
                           });
}

void RelayedStore::listFromFurtherSources(const net::Endpoint &firstRelay, const Listing &listing)
{
    if (listing.state->isDone) {
        return;
    }
    this->listFromStore(listing);
    const auto relay = this->relayClient.otherRelay(firstRelay);
    if (relay) {
        this->listFromRelay(*relay, listing);
    }
}

void RelayedStore::onRelayFailed(const net::Endpoint &relay, const Listing &listing)
{
    this->listFromStore(listing);
    if (listing.kind == store::ReadKind::Stale) {
        return;
    }
    // Load pattern: all VMs of a data centre start at once. On a narrow link the compressed listing
    // of a relay, even if it is requested later, arrives before that of the store.
    this->loop.after(kRelayRetryDelay, [this, relay, listing]() {
        if (!listing.state->isDone && !this->isStoreLost
            && listing.state->relayRequests < kMaxRelayRequests) {
            this->listFromRelay(relay, listing);
        }
    });
}

void RelayedStore::onRelayListing(const Listing &listing, const RelayResponse &response,
                                  const SendTime &sent)
{
    if (listing.state->isDone) {
        return;
    }
    listing.state->isDone = true;
    this->startLister.cancel(listing.prefix);
    if (listing.state->isStoreQueried) {
        this->store.cancel(listing.prefix);
    }
    this->cache.addRelayedListing(listing.prefix, response.listing, sent.boot - response.age);
    this->deadlines->recordFresh(
        listing.prefix, sent.steady - response.freshAge.value_or(std::chrono::milliseconds(0)));
    const bool isConfirmed = listing.kind == store::ReadKind::Linearizable;
    listing.handler(isConfirmed
                        ? confirmedListing(response.listing, this->confirmationOf(response, sent))
                        : response.listing);
}

void RelayedStore::watch(const std::string &prefix, std::uint64_t revision,
                         std::chrono::milliseconds wait, ListingHandler handler)
{
    const Watch watch{prefix, revision, wait, std::move(handler)};
    const auto relay = this->isStoreLost ? std::nullopt : this->relayClient.nextRelay();
    if (relay && this->deadlines->allowsRelays(prefix)) {
        this->watchThroughRelay(*relay, watch);
    } else {
        this->watchAtStore(watch);
    }
}

void RelayedStore::watchAtStore(const Watch &watch)
{
    // From now on the cache can serve peers that have all changes up to this revision.
    this->cache.recordWatch(watch.prefix, watch.revision);
    this->cache.recordWatchPending(watch.prefix, this->clock.timeSinceBoot());
    this->store.watch(watch.prefix, watch.revision, watch.wait,
                      [this, watch, sent = this->sendTime()](const StoreListing &received) {
                          const StoreListing response = this->checked(received, sent.steady);
                          this->cache.recordWatchEnded(watch.prefix);
                          if (response.status == StoreStatus::Ok) {
                              this->deadlines->recordFresh(watch.prefix, sent.steady);
                              if (!response.items.empty()) {
                                  this->pausedPrefixes.insert(watch.prefix);
                              }
                              this->cache.recordResponse(this->clock.timeSinceBoot());
                              this->cache.addChanges(watch.prefix, watch.revision, response,
                                                     sent.boot);
                          }
                          watch.handler(confirmedListing(response, sent.steady));
                      });
    const bool hasPaused = this->pausedPrefixes.erase(watch.prefix) > 0;
    if (hasPaused && this->pauseEndHandler && this->isRelay()) {
        this->pauseEndHandler();
    }
}

void RelayedStore::readChanges(const std::string &prefix, std::uint64_t revision,
                               ListingHandler handler)
{
    this->store.readChanges(
        prefix, revision,
        [this, handler = std::move(handler),
         sent = this->sendTime()](const StoreListing &response) {
            handler(confirmedListing(this->checked(response, sent.steady), sent.steady));
        });
}

void RelayedStore::watchThroughRelay(const net::Endpoint &relay, const Watch &watch)
{
    this->cache.stopRelaying(watch.prefix);
    const RelayDeadlines::Timing timing = watch.isSecondTry
        ? RelayDeadlines::immediateTiming()
        : this->deadlines->timingFor(watch.prefix, watch.wait, this->clock.now());
    const net::HttpRequest request{
        .path = std::string(kChangesPath),
        .query = changesQuery(watch.prefix, watch.revision, timing.wait, this->requestEra()),
        .timeout = timing.timeout,
        .maxDuration = timing.maxDuration};
    this->relayClient.send(relay, watch.prefix, request,
                           [this, relay, watch,
                            sent = this->sendTime()](const std::optional<RelayResponse> &response) {
                               this->onRelayChanges(relay, watch, response, sent);
                           });
}

void RelayedStore::onRelayChanges(const net::Endpoint &relay, const Watch &watch,
                                  const std::optional<RelayResponse> &response,
                                  const SendTime &sent)
{
    if (!response || response->outcome == RelayOutcome::QueryStore) {
        this->watchElsewhere(relay, watch);
        return;
    }
    this->deadlines->recordFresh(
        watch.prefix, sent.steady - response->freshAge.value_or(std::chrono::milliseconds(0)));
    const bool isTooOld = this->deadlines->isTooOld(watch.prefix, this->clock.now());
    if (isTooOld) {
        this->relayClient.avoid(relay);
    }
    // Changes are of use however old they are.
    if (isTooOld && response->listing.items.empty()) {
        this->watchElsewhere(relay, watch);
        return;
    }
    this->cache.addRelayedChanges(watch.prefix, watch.revision, response->listing,
                                  sent.boot - response->age, this->clock.timeSinceBoot());
    watch.handler(confirmedListing(response->listing, this->confirmationOf(*response, sent)));
}

void RelayedStore::watchElsewhere(const net::Endpoint &relay, const Watch &watch)
{
    // Load pattern: a relay is cut off or ends, and all its peers need another source in the same
    // moment. The other relay costs the store no call.
    const auto other = this->relayClient.otherRelay(relay);
    const bool canTry = !watch.isSecondTry && this->deadlines->hasBudget(watch.prefix) && other
        && !this->relayClient.isAvoided(*other);
    if (!canTry) {
        this->watchAtStore(watch);
        return;
    }
    Watch second = watch;
    second.isSecondTry = true;
    this->watchThroughRelay(*other, second);
}

void RelayedStore::cancel(const std::string &prefix)
{
    this->relayClient.cancel(prefix);
    const auto listing = this->listings.find(prefix);
    if (listing != this->listings.end()) {
        listing->second->isDone = true;
    }
    this->startLister.cancel(prefix);
    this->store.cancel(prefix);
}

void RelayedStore::grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler)
{
    this->store.grantLease(timeToLive,
                           [this, handler = std::move(handler),
                            sentAt = this->clock.now()](const StoreLease &granted) {
                               handler(this->checked(granted, sentAt));
                           });
}

void RelayedStore::renewLease(std::uint64_t lease, LeaseHandler handler)
{
    this->store.renewLease(
        lease,
        [this, handler = std::move(handler), sent = this->sendTime()](const StoreLease &received) {
            const StoreLease renewed = this->checked(received, sent.steady);
            if (renewed.status == StoreStatus::Ok) {
                this->cache.recordAnsweredCall(sent.boot);
                this->cache.recordResponse(this->clock.timeSinceBoot());
            }
            handler(renewed);
        });
}

void RelayedStore::endLease(std::uint64_t lease, StatusHandler handler)
{
    this->store.endLease(lease, std::move(handler));
}

void RelayedStore::write(const store::StoreWrite &write, StatusHandler handler)
{
    this->store.write(write, std::move(handler));
}

void RelayedStore::onStoreLost(const std::string &)
{
    this->isStoreLost = true;
    this->cache.recordStoreLost();
}

void RelayedStore::onStoreRestored()
{
    this->isStoreLost = false;
}

void RelayedStore::tick()
{
    this->startLister.tick(this->isStoreLost);
    this->relayClient.tick(this->isStoreLost);
    this->snapshotOfferer.tick(this->ageIfDisconnected(), this->cache.dataEra());
}

std::optional<std::chrono::milliseconds> RelayedStore::ageIfDisconnected() const
{
    const auto age = this->cache.dataAge(this->clock.timeSinceBoot());
    const auto maxAge = this->relayClient.hasRelay() ? kMaxRelayedDataAge : kMaxDataAge;
    return age && *age > maxAge ? age : std::nullopt;
}
}
