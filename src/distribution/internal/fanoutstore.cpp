#include "distribution/fanoutstore.h"

#include "distribution/changeboard.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/copyage.h"
#include "distribution/types/relayanswer.h"
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

//! Longest time that a neighbour that is paused or cut off holds changes back.
constexpr std::chrono::milliseconds kRelayWait{1000};
constexpr std::chrono::milliseconds kRelayMargin{600};

//! A VM that starts asks the store, too, if a neighbour takes longer.
constexpr std::chrono::milliseconds kRelayLate{25};

//! Longest time that a neighbour takes to hand a listing over.
constexpr std::chrono::milliseconds kListingTimeout{250};
}

struct FanoutStore::Listing
{
    std::string prefix;
    std::string afterKey;
    store::ReadKind kind = store::ReadKind::Linearizable;
    ListingHandler handler;
    std::shared_ptr<bool> isOver;
    std::shared_ptr<bool> isStoreAsked;
};

struct FanoutStore::Watch
{
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds wait{0};
    ListingHandler handler;
};

FanoutStore::FanoutStore(store::IStore &platform, ChangeBoard &board, net::IEventLoop &loop,
                         const IClock &clock, telemetry::IEventLog &log,
                         const RelayClient::ConnectionFactory &connect, VmName self,
                         std::vector<net::Endpoint> seeds)
    : platform(platform), board(board), loop(loop), clock(clock),
      relays(clock, log, connect, std::move(self)),
      starter(platform, clock, log, connect, std::move(seeds))
{ }

FanoutStore::~FanoutStore() = default;

void FanoutStore::list(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
                       ListingHandler handler)
{
    const Listing listing = this->begin(prefix, afterKey, kind, std::move(handler));
    const auto relay = afterKey.empty() && !this->inTrouble ? this->relays.pick() : std::nullopt;
    if (relay) {
        this->listRelay(*relay, listing);
        if (kind == store::ReadKind::Linearizable) {
            this->loop.after(kRelayLate, [this, listing]() { this->listStore(listing); });
        }
    } else {
        this->listStore(listing);
    }
}

FanoutStore::Listing FanoutStore::begin(const std::string &prefix, const std::string &afterKey,
                                        store::ReadKind kind, ListingHandler handler)
{
    auto isOver = std::make_shared<bool>(false);
    this->listingOver[prefix] = isOver;
    return {prefix, afterKey, kind, std::move(handler), isOver, std::make_shared<bool>(false)};
}

void FanoutStore::listStore(const Listing &listing)
{
    if (*listing.isOver || *listing.isStoreAsked) {
        return;
    }
    *listing.isStoreAsked = true;
    const auto handler = [this, listing](const store::StoreListing &page) {
        this->onPage(listing, page);
    };
    const bool isStart = listing.afterKey.empty() && listing.kind == store::ReadKind::Linearizable
        && !this->board.knows(listing.prefix);
    if (isStart) {
        this->starter.list(listing.prefix, handler);
    } else {
        this->platform.list(listing.prefix, listing.afterKey, listing.kind, handler);
    }
}

void FanoutStore::onPage(const Listing &listing, const store::StoreListing &page)
{
    if (*listing.isOver) {
        return;
    }
    *listing.isOver = true;
    const auto now = this->clock.sinceBoot();
    if (page.age) {
        this->board.learnListing(listing.prefix, page, now - *page.age);
    } else if (page.status == StoreStatus::Ok) {
        this->board.addPage(listing.prefix, listing.kind, listing.afterKey, page, now);
    }
    listing.handler(page);
}

void FanoutStore::listRelay(const net::Endpoint &relay, const Listing &listing)
{
    const CopyAge age = listing.kind == store::ReadKind::Stale ? CopyAge::Polled : CopyAge::New;
    const net::HttpRequest request{.path = std::string(kListingPath),
                                   .query = listingQuery(listing.prefix, age),
                                   .timeout = kListingTimeout};
    this->relays.ask(relay, listing.prefix, request,
                     [this, listing](const std::optional<RelayAnswer> &answer) {
                         if (!answer || answer->verdict == RelayVerdict::AskStore) {
                             this->listStore(listing);
                             return;
                         }
                         if (*listing.isOver) {
                             return;
                         }
                         *listing.isOver = true;
                         this->starter.abandon(listing.prefix);
                         this->board.learnListing(listing.prefix, answer->listing,
                                                  this->clock.sinceBoot() - answer->age);
                         listing.handler(answer->listing);
                     });
}

void FanoutStore::watch(const std::string &prefix, std::uint64_t revision,
                        std::chrono::milliseconds wait, ListingHandler handler)
{
    const Watch watch{prefix, revision, wait, std::move(handler)};
    const auto relay = this->inTrouble ? std::nullopt : this->relays.pick();
    if (relay) {
        this->watchRelay(*relay, watch);
    } else {
        this->watchStore(watch);
    }
}

void FanoutStore::watchStore(const Watch &watch)
{
    // From here on neighbours can be told that nothing has changed.
    this->board.follow(watch.prefix, watch.revision);
    this->platform.watch(watch.prefix, watch.revision, watch.wait,
                         [this, watch](const store::StoreListing &answer) {
                             if (answer.status == StoreStatus::Ok) {
                                 this->board.noteContact(this->clock.sinceBoot());
                                 this->board.extend(watch.prefix, watch.revision, answer);
                             }
                             watch.handler(answer);
                         });
}

void FanoutStore::watchRelay(const net::Endpoint &relay, const Watch &watch)
{
    this->board.forget(watch.prefix);
    const net::HttpRequest request{
        .path = std::string(kChangesPath),
        .query =
            absl::StrCat("prefix=", net::percentEncoded(watch.prefix), "&after=", watch.revision,
                         "&wait_ms=", std::min(watch.wait, kRelayWait).count()),
        .timeout = kRelayWait + kRelayMargin};
    this->relays.ask(relay, watch.prefix, request,
                     [this, watch](const std::optional<RelayAnswer> &answer) {
                         if (!answer || answer->verdict == RelayVerdict::AskStore) {
                             this->watchStore(watch);
                             return;
                         }
                         this->board.learnChanges(watch.prefix, watch.revision, answer->listing,
                                                  this->clock.sinceBoot());
                         watch.handler(answer->listing);
                     });
}

void FanoutStore::abandon(const std::string &prefix)
{
    this->relays.abandon(prefix);
    const auto open = this->listingOver.find(prefix);
    if (open != this->listingOver.end()) {
        *open->second = true;
    }
    this->starter.abandon(prefix);
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
                this->board.noteContact(this->clock.sinceBoot());
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

void FanoutStore::onStoreTrouble(const std::string &)
{
    this->inTrouble = true;
    this->board.noteTrouble();
}

void FanoutStore::onStoreReturned()
{
    this->inTrouble = false;
}

void FanoutStore::tick()
{
    this->starter.tick(this->inTrouble);
    this->relays.tick(this->inTrouble);
}
}
