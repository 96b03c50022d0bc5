#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::net {
class IHttpConnection;
struct HttpRequest;
struct HttpResult;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::distribution {
struct RelayAnswer;

//! Asks the relays of this VM, and leaves those alone for a while that fail.
class RelayClient
{
public:
    using ConnectionFactory =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &relay)>;
    using AnswerHandler = std::function<void(const std::optional<RelayAnswer> &answer)>;
    using ContactHandler = std::function<void(bool answers)>;

    RelayClient(const IClock &clock, telemetry::IEventLog &log, ConnectionFactory connect,
                VmName self);
    ~RelayClient();

    //! Says who the relays are; without it there are none.
    void setMembership(const membership::IMembership &known) { this->membership = &known; }

    //! True if this VM has relays, whether they answer or not.
    bool hasRelay() const;

    //! The relay to ask next; std::nullopt if there is none or all have failed.
    std::optional<net::Endpoint> pick() const;

    //! Asks \a relay about \a prefix; \a handler hears std::nullopt if it fails.
    void ask(const net::Endpoint &relay, const std::string &prefix, const net::HttpRequest &request,
             const AnswerHandler &handler);

    //! Gives the questions about \a prefix up.
    void abandon(const std::string &prefix);

    //! Hears from a relay that the store is lost, or answers again.
    void watchContact(ContactHandler handler) { this->contactHandler = std::move(handler); }

    //! True if a relay that is followed would tell at once that the store is lost or back.
    bool hasLiveRelay() const;

    //! Closes connections that are no longer used, and asks a relay for the store while that is
    //! lost; call it a few times a second.
    void tick(bool isStoreLost);

private:
    struct Lane
    {
        std::unique_ptr<net::IHttpConnection> connection;
        std::chrono::steady_clock::time_point usedAt;
    };

    bool isAvoided(const net::Endpoint &relay) const;
    net::IHttpConnection &connectionTo(const net::Endpoint &relay, const std::string &prefix);
    void askForContact();
    void onContact(const net::Endpoint &relay, const net::HttpResult &result);
    void tellContact(bool answers);
    void noteFailed(const net::Endpoint &relay, const std::string &prefix,
                    const net::HttpResult &result);

    const IClock &clock;
    telemetry::IEventLog &log;
    ConnectionFactory connect;
    VmName self;
    const membership::IMembership *membership = nullptr;
    ContactHandler contactHandler;
    bool isStoreLost = false;

    //! When a relay last answered.
    std::optional<std::chrono::steady_clock::time_point> answeredAt;
    std::chrono::steady_clock::time_point askedForContactAt;

    //! Relays that failed, with the time until which they are not asked.
    std::map<net::Endpoint, std::chrono::steady_clock::time_point> avoidedUntil;
    std::map<std::pair<std::string, net::Endpoint>, Lane> lanes;
};
}
