#include "distribution/relayclient.h"

#include "distribution/acceptera.h"
#include "distribution/relaychoice.h"
#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/relayresponse.h"
#include "global/iclock.h"
#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "store/eratracker.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
//! Meanwhile requests go to the other relay or to the store.
constexpr std::chrono::milliseconds kFailedBackoff{5000};

//! Shorter than kFailedBackoff, because a relay that cannot serve a request may have just started.
constexpr std::chrono::milliseconds kUnavailableBackoff{800};

//! While the store is lost, a relay is queried each second for its connectivity to the store.
constexpr std::chrono::milliseconds kConnectivityQueryInterval{1000};
constexpr std::chrono::milliseconds kConnectivityQueryTimeout{250};

//! Longer than the interval between two responses of a relay in use.
constexpr std::chrono::milliseconds kLiveRelayAge{2500};

//! Longer than any request to a relay takes.
constexpr std::chrono::milliseconds kConnectionIdleTime{10000};
}

RelayClient::RelayClient(const IClock &clock, telemetry::IEventLog &log, ConnectionFactory connect,
                         VmName self)
    : clock(clock), log(log), connect(std::move(connect)), self(std::move(self))
{ }

RelayClient::~RelayClient() = default;

bool RelayClient::hasRelay() const
{
    return this->membership != nullptr && !relaysFor(this->self, *this->membership).empty();
}

bool RelayClient::isRelay() const
{
    return this->membership != nullptr && distribution::isRelay(this->self, *this->membership);
}

std::optional<net::Endpoint> RelayClient::nextRelay() const
{
    if (this->membership == nullptr) {
        return std::nullopt;
    }
    for (const net::Endpoint &relay : relaysFor(this->self, *this->membership)) {
        if (!this->isBackedOff(relay)) {
            return relay;
        }
    }
    return std::nullopt;
}

std::optional<net::Endpoint> RelayClient::otherRelay(const net::Endpoint &relay) const
{
    if (this->membership == nullptr) {
        return std::nullopt;
    }
    const auto relays = relaysFor(this->self, *this->membership);
    const auto other = std::ranges::find_if(
        relays, [&relay](const net::Endpoint &candidate) { return candidate != relay; });
    return other == relays.end() ? std::nullopt : std::optional(*other);
}

void RelayClient::avoid(const net::Endpoint &relay)
{
    this->backoffUntil[relay] = this->clock.now() + kUnavailableBackoff;
}

bool RelayClient::isBackedOff(const net::Endpoint &relay) const
{
    const auto backoff = this->backoffUntil.find(relay);
    return backoff != this->backoffUntil.end() && this->clock.now() < backoff->second;
}

void RelayClient::send(const net::Endpoint &relay, const std::string &prefix,
                       const net::HttpRequest &request, const ResponseHandler &handler)
{
    this->connectionTo(relay, prefix)
        .send(request, [this, relay, prefix, handler](const net::HttpResult &result) {
            auto response = result.status == 200 ? parseRelayBody(result.body) : std::nullopt;
            if (response && this->eraTracker != nullptr
                && !acceptEra(*response, *this->eraTracker)) {
                response.reset();
            }
            if (!response && this->learnEra(result)) {
                // The relay may have the data of the newer era, which the next request names.
                this->isEraShown = true;
                this->lastResponseAt = this->clock.now();
            } else if (response) {
                response->listing.isRelayed = true;
                this->isEraShown = response->hasEra;
                this->lastResponseAt = this->clock.now();
                this->backoffUntil.erase(relay);
            } else {
                this->recordFailure(relay, prefix, result);
            }
            handler(response);
        });
}

bool RelayClient::learnEra(const net::HttpResult &result)
{
    if (this->eraTracker == nullptr || result.status != kUnavailable) {
        return false;
    }
    const std::uint64_t era = parseUnavailableText(result.body);
    if (era == 0) {
        return false;
    }
    const auto known = this->eraTracker->newestEra();
    this->eraTracker->accept(era);
    return known && known != this->eraTracker->newestEra();
}

net::IHttpConnection &RelayClient::connectionTo(const net::Endpoint &relay,
                                                const std::string &prefix)
{
    PooledConnection &pooled = this->connections[{prefix, relay}];
    if (!pooled.connection) {
        pooled.connection = this->connect(relay);
    }
    pooled.usedAt = this->clock.now();
    return *pooled.connection;
}

void RelayClient::cancel(const std::string &prefix)
{
    std::erase_if(this->connections,
                  [&prefix](const auto &entry) { return entry.first.first == prefix; });
}

void RelayClient::recordFailure(const net::Endpoint &relay, const std::string &prefix,
                                const net::HttpResult &result)
{
    const bool isUnavailable = result.status == kUnavailable;
    this->backoffUntil[relay] =
        this->clock.now() + (isUnavailable ? kUnavailableBackoff : kFailedBackoff);
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "relay.failed")
                        .text("relay", net::endpointText(relay))
                        .text("prefix", prefix)
                        .number("status", result.status)
                        .text("detail", result.reason.detail));
    if (result.status == kStoreLost && this->hasLiveRelay() && !this->isStoreLost) {
        this->notifyConnection(false);
    }
}

void RelayClient::notifyConnection(bool isConnected)
{
    if (this->connectionHandler) {
        this->connectionHandler(isConnected);
    }
}

bool RelayClient::hasLiveRelay() const
{
    return this->lastResponseAt && this->clock.now() - *this->lastResponseAt <= kLiveRelayAge;
}

void RelayClient::queryConnectivity()
{
    const auto relay = this->nextRelay();
    if (!relay || this->clock.now() - this->connectivityQueriedAt < kConnectivityQueryInterval) {
        return;
    }
    this->connectivityQueriedAt = this->clock.now();
    const net::HttpRequest request{.path = std::string(kConnectivityPath),
                                   .timeout = kConnectivityQueryTimeout};
    this->connectionTo(*relay, std::string(kConnectivityPath))
        .send(request, [this, relay = *relay](const net::HttpResult &result) {
            this->onConnectivity(relay, result);
        });
}

void RelayClient::onConnectivity(const net::Endpoint &relay, const net::HttpResult &result)
{
    if (result.status != 200 && result.status != kStoreLost) {
        this->recordFailure(relay, std::string(kConnectivityPath), result);
        return;
    }
    this->lastResponseAt = this->clock.now();
    if (result.status == 200 && this->isStoreLost) {
        this->notifyConnection(true);
    }
}

void RelayClient::tick(bool isStoreLost)
{
    this->isStoreLost = isStoreLost;
    if (isStoreLost) {
        this->queryConnectivity();
    }
    const auto now = this->clock.now();
    std::erase_if(this->connections, [now](const auto &entry) {
        return now - entry.second.usedAt > kConnectionIdleTime;
    });
    std::erase_if(this->backoffUntil, [now](const auto &entry) { return now >= entry.second; });
}
}
