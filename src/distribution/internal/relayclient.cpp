#include "distribution/relayclient.h"

#include "distribution/relaychoice.h"
#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/relayanswer.h"
#include "global/iclock.h"
#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

namespace radishladder::distribution {
namespace {
constexpr std::chrono::milliseconds kAvoidFailed{5000};

//! A neighbour that cannot tell may have started just now.
constexpr std::chrono::milliseconds kAvoidUnable{800};

//! While the store is lost, a neighbour is asked for it each second.
constexpr std::chrono::milliseconds kContactPeriod{1000};
constexpr std::chrono::milliseconds kContactTimeout{250};

//! Longer than two answers of a neighbour that is followed are apart.
constexpr std::chrono::milliseconds kLiveAge{2500};

//! Longer than any request to a neighbour takes.
constexpr std::chrono::milliseconds kLaneIdle{10000};
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

std::optional<net::Endpoint> RelayClient::pick() const
{
    if (this->membership == nullptr) {
        return std::nullopt;
    }
    for (const net::Endpoint &relay : relaysFor(this->self, *this->membership)) {
        if (!this->isAvoided(relay)) {
            return relay;
        }
    }
    return std::nullopt;
}

bool RelayClient::isAvoided(const net::Endpoint &relay) const
{
    const auto failed = this->avoidedUntil.find(relay);
    return failed != this->avoidedUntil.end() && this->clock.now() < failed->second;
}

void RelayClient::ask(const net::Endpoint &relay, const std::string &prefix,
                      const net::HttpRequest &request, const AnswerHandler &handler)
{
    this->connectionTo(relay, prefix)
        .send(request, [this, relay, prefix, handler](const net::HttpResult &result) {
            auto answer = result.status == 200 ? parseRelayText(result.body) : std::nullopt;
            if (answer) {
                answer->listing.isRelayed = true;
                this->answeredAt = this->clock.now();
            } else {
                this->noteFailed(relay, prefix, result);
            }
            handler(answer);
        });
}

net::IHttpConnection &RelayClient::connectionTo(const net::Endpoint &relay,
                                                const std::string &prefix)
{
    Lane &lane = this->lanes[{prefix, relay}];
    if (!lane.connection) {
        lane.connection = this->connect(relay);
    }
    lane.usedAt = this->clock.now();
    return *lane.connection;
}

void RelayClient::abandon(const std::string &prefix)
{
    std::erase_if(this->lanes,
                  [&prefix](const auto &entry) { return entry.first.first == prefix; });
}

void RelayClient::noteFailed(const net::Endpoint &relay, const std::string &prefix,
                             const net::HttpResult &result)
{
    const bool isUnable = result.status == kCannotTell;
    this->avoidedUntil[relay] = this->clock.now() + (isUnable ? kAvoidUnable : kAvoidFailed);
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "relay.failed")
                        .text("relay", net::endpointText(relay))
                        .text("prefix", prefix)
                        .number("status", result.status)
                        .text("detail", result.reason.detail));
    if (result.status == kStoreLost && this->hasLiveRelay() && !this->isStoreLost) {
        this->tellContact(false);
    }
}

void RelayClient::tellContact(bool answers)
{
    if (this->contactHandler) {
        this->contactHandler(answers);
    }
}

bool RelayClient::hasLiveRelay() const
{
    return this->answeredAt && this->clock.now() - *this->answeredAt <= kLiveAge;
}

void RelayClient::askForContact()
{
    const auto relay = this->pick();
    if (!relay || this->clock.now() - this->askedForContactAt < kContactPeriod) {
        return;
    }
    this->askedForContactAt = this->clock.now();
    const net::HttpRequest request{.path = std::string(kContactPath), .timeout = kContactTimeout};
    this->connectionTo(*relay, std::string(kContactPath))
        .send(request, [this, relay = *relay](const net::HttpResult &result) {
            this->onContact(relay, result);
        });
}

void RelayClient::onContact(const net::Endpoint &relay, const net::HttpResult &result)
{
    if (result.status != 200 && result.status != kStoreLost) {
        this->noteFailed(relay, std::string(kContactPath), result);
        return;
    }
    this->answeredAt = this->clock.now();
    if (result.status == 200 && this->isStoreLost) {
        this->tellContact(true);
    }
}

void RelayClient::tick(bool isLost)
{
    this->isStoreLost = isLost;
    if (isLost) {
        this->askForContact();
    }
    const auto now = this->clock.now();
    std::erase_if(this->lanes,
                  [now](const auto &entry) { return now - entry.second.usedAt > kLaneIdle; });
    std::erase_if(this->avoidedUntil, [now](const auto &entry) { return now >= entry.second; });
}
}
