#include "distribution/seedclient.h"

#include "distribution/acceptera.h"
#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/relayera.h"
#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotage.h"
#include "distribution/types/snapshotoffer.h"
#include "global/iclock.h"
#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "store/eratracker.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
//! Ends before the next retry; a seed in a data centre that is cut off does not respond at all.
constexpr std::chrono::milliseconds kRequestTimeout{400};

constexpr std::chrono::milliseconds kRetryInterval{500};

//! Offers that are kept; one of their VMs may fail before it sends its snapshots.
constexpr std::size_t kMaxOffers = 2;

//! An offer is discarded if another VM has data that is newer by more than this. VMs that lost the
//! store at the same moment differ by less.
constexpr std::chrono::milliseconds kMaxAgeDifference{2500};
}

SeedClient::SeedClient(const IClock &clock, ConnectionFactory connect,
                       std::vector<net::Endpoint> seeds)
    : clock(clock), connect(std::move(connect)), seeds(std::move(seeds))
{ }

SeedClient::~SeedClient() = default;

bool SeedClient::KnownOffer::isOutdatedBy(const KnownOffer &other) const
{
    return this->data.hasOlderEraThan(other.data)
        || (this->data.hasEraOf(other.data) && other.dataTime - this->dataTime > kMaxAgeDifference);
}

void SeedClient::addOffer(const SnapshotOffer &offer)
{
    const bool isKnown =
        std::ranges::find(this->offers, offer.vm, &KnownOffer::vm) != this->offers.end();
    const KnownOffer known{.vm = offer.vm,
                           .data = {.era = offer.era.value_or(0)},
                           .dataTime = this->clock.now() - offer.age};
    std::erase_if(this->offers, [&known](const KnownOffer &other) {
        return other.vm == known.vm || other.isOutdatedBy(known);
    });
    this->offers.push_back(known);
    std::ranges::sort(this->offers, std::ranges::greater(), &KnownOffer::dataVersion);
    if (this->offers.size() > kMaxOffers) {
        this->offers.resize(kMaxOffers);
    }
    std::erase_if(this->offers, [this](const KnownOffer &other) {
        return other.isOutdatedBy(this->offers.front());
    });
    for (auto &[prefix, pending] : this->pendingRequests) {
        if (!isKnown) {
            pending.newVms.push_back(offer.vm);
        }
    }
}

void SeedClient::requestListing(const std::string &prefix, Handler handler)
{
    PendingRequest &pending = this->pendingRequests[prefix];
    pending.handler = std::move(handler);
    pending.isDone = false;
    this->send(prefix, pending);
}

void SeedClient::cancel(const std::string &prefix)
{
    const auto pending = this->pendingRequests.find(prefix);
    if (pending != this->pendingRequests.end()) {
        // The caller may be a handler of one of the connections, so they are closed later, by
        // tick().
        pending->second.isDone = true;
    }
}

void SeedClient::tick()
{
    std::erase_if(this->pendingRequests, [](const auto &entry) { return entry.second.isDone; });
    for (auto &[prefix, pending] : this->pendingRequests) {
        if (this->clock.now() - pending.sentAt >= kRetryInterval) {
            this->send(prefix, pending);
        } else {
            this->sendToNewVms(prefix, pending);
        }
    }
}

void SeedClient::send(const std::string &prefix, PendingRequest &pending)
{
    pending.sentAt = this->clock.now();
    pending.newVms.clear();
    pending.connections.clear();
    for (const net::Endpoint &vm : this->seeds) {
        this->sendTo(vm, prefix, pending);
    }
    // A copy, since a request that fails at once removes the offer.
    const std::vector<KnownOffer> current = this->offers;
    for (const KnownOffer &offer : current) {
        this->sendTo(offer.vm, prefix, pending);
    }
}

void SeedClient::sendToNewVms(const std::string &prefix, PendingRequest &pending)
{
    const std::vector<KnownOffer> current = this->offers;
    for (const KnownOffer &offer : current) {
        if (std::ranges::find(pending.newVms, offer.vm) != pending.newVms.end()) {
            this->sendTo(offer.vm, prefix, pending);
        }
    }
    pending.newVms.clear();
}

void SeedClient::sendTo(const net::Endpoint &vm, const std::string &prefix, PendingRequest &pending)
{
    const RelayEra era =
        RelayEra::of(this->eraTracker == nullptr ? std::nullopt : this->eraTracker->newestEra());
    const net::HttpRequest request{.path = std::string(kListingPath),
                                   .query = listingQuery(prefix, SnapshotAge::Any, era),
                                   .timeout = kRequestTimeout};
    pending.connections.push_back(this->connect(vm));
    pending.connections.back()->send(request, [this, prefix, vm](const net::HttpResult &result) {
        this->onResult(prefix, vm, result);
    });
}

void SeedClient::learnEra(const net::HttpResult &result)
{
    const bool isUnavailable = result.status == kUnavailable || result.status == kStoreLost;
    const std::uint64_t era = isUnavailable ? parseUnavailableText(result.body) : 0;
    if (this->eraTracker != nullptr && era > 0) {
        this->eraTracker->accept(era);
    }
}

void SeedClient::onResult(const std::string &prefix, const net::Endpoint &vm,
                          const net::HttpResult &result)
{
    if (result.status != 200) {
        this->learnEra(result);
        // Makes room for the offers of other VMs; this VM offers again if it runs.
        std::erase_if(this->offers, [&vm](const KnownOffer &offer) { return offer.vm == vm; });
        return;
    }
    const auto pending = this->pendingRequests.find(prefix);
    if (pending == this->pendingRequests.end() || pending->second.isDone) {
        return;
    }
    auto response = parseRelayBody(result.body);
    if (!response || response->outcome == RelayOutcome::QueryStore) {
        return;
    }
    if (this->eraTracker != nullptr && !acceptEra(*response, *this->eraTracker)) {
        return;
    }
    pending->second.isDone = true;
    const Handler handler = pending->second.handler;
    handler(vm, *response);
}
}
