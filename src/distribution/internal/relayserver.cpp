#include "distribution/relayserver.h"

#include "distribution/changecache.h"
#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/snapshotage.h"
#include "global/iclock.h"
#include "net/query.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"

#include <absl/strings/numbers.h>

namespace radishladder::distribution {
namespace {
constexpr std::chrono::milliseconds kMaxWait{5000};

//! Limits memory if peers send requests repeatedly without waiting for a response.
constexpr std::size_t kMaxPending = 1024;

//! Bytes of listings sent between two ticks; more would delay changes on a narrow link.
constexpr std::size_t kListingBytesPerTick = 1024 * 1024;

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
    return path == kChangesPath || path == kListingPath || path == kConnectivityPath;
}

void RelayServer::tick()
{
    this->listingBudget = kListingBytesPerTick;
    this->respondToPending();
}

void RelayServer::handle(const net::HttpRequest &request,
                         const net::IHttpServer::Responder &respond)
{
    if (request.path == kConnectivityPath) {
        const bool isConnected = this->cache.isConnected(this->clock.timeSinceBoot());
        respond({.status = isConnected ? 200 : kStoreLost, .body = "{}"});
    } else if (request.path == kListingPath) {
        this->handleListing(request, respond);
    } else {
        this->handleChanges(request, respond);
    }
}

void RelayServer::handleListing(const net::HttpRequest &request,
                                const net::IHttpServer::Responder &respond)
{
    const auto fields = net::queryFields(request.query);
    const auto age = parseSnapshotAge(fieldOf(fields, "age"));
    if (!age) {
        respond({.status = 400, .body = R"({"error":"GET /listing?prefix=&age=new|polled|any"})"});
        return;
    }
    const RelayResponse response =
        this->cache.snapshot(fieldOf(fields, "prefix"), *age, this->clock.timeSinceBoot());
    if (response.outcome == RelayOutcome::Unavailable) {
        respond(this->unavailableResponse());
        return;
    }
    std::string text = relayText(response);
    if (text.size() > this->listingBudget) {
        respond({.body = relayText({.outcome = RelayOutcome::QueryStore})});
        return;
    }
    this->listingBudget -= text.size();
    respond({.body = std::move(text)});
}

void RelayServer::handleChanges(const net::HttpRequest &request,
                                const net::IHttpServer::Responder &respond)
{
    const auto fields = net::queryFields(request.query);
    PendingRequest pending{.prefix = fieldOf(fields, "prefix"), .respond = respond};
    std::int64_t waitMs = 0;
    if (!absl::SimpleAtoi(fieldOf(fields, "after"), &pending.after)
        || !absl::SimpleAtoi(fieldOf(fields, "wait_ms"), &waitMs) || waitMs < 0) {
        respond({.status = 400, .body = R"({"error":"GET /changes?prefix=&after=&wait_ms="})"});
        return;
    }
    pending.until = this->clock.now() + std::min(std::chrono::milliseconds(waitMs), kMaxWait);
    ResponseTexts texts;
    if (this->tryRespond(pending, texts)) {
        return;
    }
    if (this->pendingRequests.size() >= kMaxPending) {
        respond({.status = kUnavailable, .body = "{}"});
        return;
    }
    this->pendingRequests.push_back(std::move(pending));
}

net::HttpResponse RelayServer::unavailableResponse() const
{
    const bool isConnected = this->cache.isConnected(this->clock.timeSinceBoot());
    return {.status = isConnected ? kUnavailable : kStoreLost, .body = "{}"};
}

bool RelayServer::tryRespond(const PendingRequest &pending, ResponseTexts &texts) const
{
    const auto now = this->clock.now();
    const RelayResponse response =
        this->cache.changesAfter(pending.prefix, pending.after, this->clock.timeSinceBoot());
    if (response.outcome == RelayOutcome::Unavailable) {
        pending.respond(this->unavailableResponse());
        return true;
    }
    if (response.outcome == RelayOutcome::NoChanges && now < pending.until) {
        return false;
    }
    std::string &text = texts[{pending.prefix, pending.after}];
    if (text.empty()) {
        text = relayText(response);
    }
    pending.respond({.body = text});
    return true;
}

void RelayServer::respondToPending()
{
    ResponseTexts texts;
    std::erase_if(this->pendingRequests, [this, &texts](const PendingRequest &pending) {
        return this->tryRespond(pending, texts);
    });
}
}
