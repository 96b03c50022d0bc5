#include "distribution/startlister.h"

#include "distribution/acceptera.h"
#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotoffer.h"
#include "global/iclock.h"
#include "store/eratracker.h"
#include "store/types/readkind.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

namespace radishladder::distribution {
namespace {
//! Seeds are queried if the store has not responded after this time; a healthy store responds much
//! sooner.
constexpr std::chrono::milliseconds kSeedDelay{250};

//! After this time a failed listing is passed to the caller, which retries it, if the store still
//! responds to other calls.
constexpr std::chrono::milliseconds kFailureTimeout{1500};
}

StartLister::StartLister(store::IStore &store, const IClock &clock, telemetry::IEventLog &log,
                         SeedClient::ConnectionFactory connect, std::vector<net::Endpoint> seeds)
    : store(store), clock(clock), log(log), seedClient(clock, std::move(connect), std::move(seeds))
{ }

void StartLister::setEraTracker(store::EraTracker &tracker)
{
    this->eraTracker = &tracker;
    this->seedClient.setEraTracker(tracker);
}

void StartLister::list(const std::string &prefix, store::ReadKind kind,
                       store::IStore::ListingHandler handler)
{
    const std::uint64_t id = ++this->lastId;
    this->pendingListings[prefix] = {
        .id = id, .handler = std::move(handler), .startedAt = this->clock.now()};
    this->store.list(prefix, "", kind, [this, prefix, id](const store::StoreListing &page) {
        this->onStorePage(prefix, id, page);
    });
}

void StartLister::cancel(const std::string &prefix)
{
    this->pendingListings.erase(prefix);
    this->seedClient.cancel(prefix);
}

void StartLister::onStorePage(const std::string &prefix, std::uint64_t id,
                              const store::StoreListing &page)
{
    const auto pending = this->pendingListings.find(prefix);
    if (pending == this->pendingListings.end() || pending->second.id != id) {
        return;
    }
    if (page.status != store::StoreStatus::Ok
        && (this->isStoreLost || this->seedClient.hasSources())) {
        pending->second.failure = page;
    } else {
        this->finish(prefix, page);
    }
}

bool StartLister::acceptOffer(const SnapshotOffer &offer)
{
    SnapshotOffer accepted = offer;
    const bool hasUsableEra = this->eraTracker == nullptr || acceptEra(accepted, *this->eraTracker);
    if (this->pendingListings.empty() || !hasUsableEra) {
        return false;
    }
    this->seedClient.addOffer(accepted);
    return true;
}

void StartLister::tick(bool isStoreLostNow)
{
    this->isStoreLost = isStoreLostNow;
    this->seedClient.tick();
    // Requests and results may end listings, so none is sent or reported within the loop.
    std::vector<std::string> late;
    std::vector<std::string> timedOut;
    for (const auto &[prefix, pending] : this->pendingListings) {
        const auto elapsed = this->clock.now() - pending.startedAt;
        if (!pending.isSeedRequestSent && (pending.failure || elapsed >= kSeedDelay)) {
            late.push_back(prefix);
        }
        if (pending.failure && !this->isStoreLost && elapsed >= kFailureTimeout) {
            timedOut.push_back(prefix);
        }
    }
    for (const std::string &prefix : late) {
        this->requestFromSeeds(prefix);
    }
    for (const std::string &prefix : timedOut) {
        const auto pending = this->pendingListings.find(prefix);
        if (pending != this->pendingListings.end() && pending->second.failure) {
            this->finish(prefix, store::StoreListing(*pending->second.failure));
        }
    }
}

void StartLister::requestFromSeeds(const std::string &prefix)
{
    const auto pending = this->pendingListings.find(prefix);
    if (pending == this->pendingListings.end()) {
        return;
    }
    pending->second.isSeedRequestSent = true;
    this->seedClient.requestListing(
        prefix, [this, prefix](const net::Endpoint &vm, const RelayResponse &response) {
            this->onSeedResponse(prefix, vm, response);
        });
}

void StartLister::onSeedResponse(const std::string &prefix, const net::Endpoint &vm,
                                 const RelayResponse &response)
{
    if (!this->pendingListings.contains(prefix)) {
        return;
    }
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "start.from_seed")
                        .text("vm", net::endpointText(vm))
                        .text("prefix", prefix)
                        .number("items", static_cast<std::int64_t>(response.listing.items.size()))
                        .number("revision", static_cast<std::int64_t>(response.listing.revision))
                        .duration("age_ms", response.age));
    store::StoreListing listing = response.listing;
    listing.age = response.age;
    this->finish(prefix, listing);
}

void StartLister::finish(const std::string &prefix, const store::StoreListing &listing)
{
    const auto handler = std::move(this->pendingListings[prefix].handler);
    this->cancel(prefix);
    handler(listing);
}
}
