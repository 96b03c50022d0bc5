#include "distribution/relayserver.h"

#include "distribution/changecache.h"
#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/snapshotage.h"
#include "distribution/types/snapshotoffer.h"
#include "global/iclock.h"
#include "net/compression.h"
#include "net/query.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "store/delaybudget.h"

#include <absl/strings/numbers.h>
#include <algorithm>

namespace radishladder::distribution {
namespace {
//! Longer than the wait that peers request.
constexpr std::chrono::milliseconds kMaxWait{5000};

//! Limits memory if peers send requests repeatedly without waiting for a response.
constexpr std::size_t kMaxPending = 1024;

//! Longest wait of a request for a listing that this VM does not have yet. VMs that start together
//! request it from their relay before the relay has received it.
constexpr std::chrono::milliseconds kMaxListingWait{200};

//! Sending larger changes to many peers would fill a relay's link for too long.
constexpr std::size_t kMaxChangesBytes = 128 * 1024;

//! Shorter texts are sent as they are.
constexpr std::size_t kMinCompressedBytes = 512;

//! Bytes of listings sent between two ticks; more would delay changes on a narrow link.
constexpr std::size_t kListingBytesPerTick = 1024 * 1024;

constexpr const char *kCompressedType = "application/zlib";

std::chrono::milliseconds roundedUp(std::chrono::milliseconds age)
{
    constexpr auto kStep = store::DelayBudget::kAgeStep;
    return (age + kStep - std::chrono::milliseconds(1)) / kStep * kStep;
}

std::string fieldOf(const std::map<std::string, std::string> &fields, const char *name)
{
    const auto field = fields.find(name);
    return field == fields.end() ? std::string() : field->second;
}
}

RelayServer::RelayServer(ChangeCache &cache, const IClock &clock)
    : cache(cache), clock(clock), listingBudget(kListingBytesPerTick)
{
    this->cache.setChangeListener([this]() { this->respondToPending(); });
}

bool RelayServer::acceptsPath(const std::string &path)
{
    return path == kChangesPath || path == kListingPath || path == kConnectivityPath
        || path == kOfferPath;
}

void RelayServer::tick()
{
    this->bodies.clear();
    this->listingBudget = kListingBytesPerTick;
    this->respondToPending();
}

void RelayServer::handle(const net::HttpRequest &request,
                         const net::IHttpServer::Responder &respond)
{
    if (request.path == kConnectivityPath) {
        const bool isConnected = this->cache.isConnected(this->clock.timeSinceBoot());
        respond({.status = isConnected ? 200 : kStoreLost, .body = "{}"});
    } else if (request.path == kOfferPath) {
        this->handleOffer(request, respond);
    } else if (request.path == kListingPath) {
        this->handleListing(request, respond);
    } else {
        this->handleChanges(request, respond);
    }
}

void RelayServer::handleOffer(const net::HttpRequest &request,
                              const net::IHttpServer::Responder &respond)
{
    const auto offer = parseOfferQuery(request.query);
    if (!offer) {
        respond({.status = 400, .body = R"({"error":"GET /offer?address=&age_ms="})"});
        return;
    }
    const bool isNeeded = this->offerHandler && this->offerHandler(*offer);
    respond({.status = isNeeded ? 200 : kNotNeeded, .body = "{}"});
}

void RelayServer::handleListing(const net::HttpRequest &request,
                                const net::IHttpServer::Responder &respond)
{
    const auto fields = net::queryFields(request.query);
    const auto age = parseSnapshotAge(fieldOf(fields, "age"));
    const auto era = parseRelayEra(fieldOf(fields, kEraField));
    if (!age || !era) {
        respond({.status = 400, .body = R"({"error":"GET /listing?prefix=&age=new|polled|any"})"});
        return;
    }
    PendingRequest pending{.prefix = fieldOf(fields, "prefix"),
                           .age = *age,
                           .era = *era,
                           .acceptsCompressed =
                               fieldOf(fields, kEncodingField) == kCompressedEncoding,
                           .arrivedAt = this->clock.now(),
                           .until = this->clock.now(),
                           .respond = respond};
    if (*age == SnapshotAge::New && !this->cache.hasSnapshot(pending.prefix)) {
        pending.until += kMaxListingWait;
    }
    this->respondOrWait(std::move(pending));
}

void RelayServer::handleChanges(const net::HttpRequest &request,
                                const net::IHttpServer::Responder &respond)
{
    const auto fields = net::queryFields(request.query);
    std::uint64_t after = 0;
    std::int64_t waitMs = 0;
    const auto era = parseRelayEra(fieldOf(fields, kEraField));
    if (!era || !absl::SimpleAtoi(fieldOf(fields, "after"), &after)
        || !absl::SimpleAtoi(fieldOf(fields, "wait_ms"), &waitMs) || waitMs < 0) {
        respond({.status = 400, .body = R"({"error":"GET /changes?prefix=&after=&wait_ms="})"});
        return;
    }
    const auto wait = std::min(std::chrono::milliseconds(waitMs), kMaxWait);
    this->respondOrWait(
        {.prefix = fieldOf(fields, "prefix"),
         .after = after,
         .era = *era,
         .acceptsCompressed = fieldOf(fields, kEncodingField) == kCompressedEncoding,
         .arrivedAt = this->clock.now(),
         .until = this->clock.now() + wait,
         .respond = respond});
}

void RelayServer::respondOrWait(PendingRequest request)
{
    if (this->tryRespond(request)) {
        return;
    }
    if (this->pendingRequests.size() >= kMaxPending) {
        request.respond({.status = kUnavailable, .body = "{}"});
        return;
    }
    this->pendingRequests.push_back(std::move(request));
}

net::HttpResponse RelayServer::unavailableResponse() const
{
    const bool isConnected = this->cache.isConnected(this->clock.timeSinceBoot());
    return {.status = isConnected ? kUnavailable : kStoreLost,
            .body = unavailableText(this->cache.era())};
}

RelayResponse RelayServer::dataFor(const PendingRequest &pending) const
{
    const auto now = this->clock.timeSinceBoot();
    RelayResponse response = pending.after
        ? this->cache.changesAfter(pending.prefix, *pending.after, now)
        : this->cache.snapshot(pending.prefix, pending.age, now);
    if (!pending.era.accepts(response.listing.era, this->cache.era())) {
        return {.outcome = RelayOutcome::Unavailable};
    }
    return response;
}

bool RelayServer::tryRespond(const PendingRequest &pending)
{
    const RelayResponse response = this->dataFor(pending);
    const bool isListingAwaited = !pending.after && response.outcome == RelayOutcome::Unavailable;
    const bool canWait = this->clock.now() < pending.until;
    if (canWait && (isListingAwaited || response.outcome == RelayOutcome::NoChanges)) {
        return false;
    }
    pending.respond(response.outcome == RelayOutcome::Unavailable
                        ? this->unavailableResponse()
                        : this->dataResponse(pending, response));
    return true;
}

net::HttpResponse RelayServer::dataResponse(const PendingRequest &pending,
                                            const RelayResponse &response)
{
    const std::string &body = this->bodyFor(pending, response);
    const std::size_t limit = pending.after ? kMaxChangesBytes : this->listingBudget;
    if (body.size() > limit) {
        return {.body = relayText({.outcome = RelayOutcome::QueryStore})};
    }
    if (!pending.after) {
        this->listingBudget -= body.size();
    }
    if (body.starts_with('{')) {
        return {.body = body};
    }
    return {.contentType = kCompressedType, .body = body};
}

std::chrono::milliseconds RelayServer::freshAgeAtArrival(const PendingRequest &pending,
                                                         const RelayResponse &response) const
{
    // The peer knows when it sent the request, not how long it waited here. Changes go to all
    // waiting peers in the same body, so their age stays that of the response.
    if (response.outcome != RelayOutcome::NoChanges) {
        return *response.freshAge;
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now()
                                                                              - pending.arrivedAt);
    return std::max(*response.freshAge - waited, std::chrono::milliseconds(0));
}

const std::string &RelayServer::bodyFor(const PendingRequest &pending,
                                        const RelayResponse &response)
{
    RelayResponse rounded = response;
    rounded.age = roundedUp(response.age);
    if (response.freshAge) {
        rounded.freshAge = roundedUp(this->freshAgeAtArrival(pending, response));
    }
    const BodyKey key{pending.prefix, pending.after,    rounded.listing.storeRevision(),
                      rounded.age,    rounded.freshAge, pending.acceptsCompressed};
    const auto [body, isNew] = this->bodies.try_emplace(key);
    if (isNew) {
        body->second = relayText(rounded);
        if (pending.acceptsCompressed && body->second.size() >= kMinCompressedBytes) {
            body->second = net::compress(body->second).value_or(body->second);
        }
    }
    return body->second;
}

void RelayServer::respondToPending()
{
    std::erase_if(this->pendingRequests,
                  [this](const PendingRequest &pending) { return this->tryRespond(pending); });
}
}
