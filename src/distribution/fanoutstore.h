#pragma once

#include "distribution/startlister.h"
#include "global/name.h"
#include "net/types/endpoint.h"
#include "store/icontactlistener.h"
#include "store/istore.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::net {
class IEventLoop;
class IHttpConnection;
struct HttpRequest;
struct HttpResult;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::distribution {
class ChangeBoard;
struct RelayAnswer;

//! The platform's store, whose listings and watches go through a neighbour while that one can tell;
//! every other call, and what a neighbour fails to answer, goes to the store itself.
class FanoutStore : public store::IStore, public store::IContactListener
{
public:
    using ConnectionFactory =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &relay)>;

    FanoutStore(store::IStore &platform, ChangeBoard &board, net::IEventLoop &loop,
                const IClock &clock, telemetry::IEventLog &log, ConnectionFactory connect,
                VmName self, std::vector<net::Endpoint> seeds);
    ~FanoutStore() override;

    //! Says through whom this VM may follow; without it every watch goes to the store.
    void setMembership(const membership::IMembership &known) { this->membership = &known; }

    //! True if this VM may follow the store through a neighbour.
    bool hasRelay() const;

    void list(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
              ListingHandler handler) override;
    void watch(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait,
               ListingHandler handler) override;
    void abandon(const std::string &prefix) override;
    void grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler) override;
    void renewLease(std::uint64_t lease, LeaseHandler handler) override;
    void endLease(std::uint64_t lease, StatusHandler handler) override;
    void write(const store::StoreWrite &write, StatusHandler handler) override;

    void onStoreTrouble(const std::string &detail) override;
    void onStoreReturned() override;

    //! Hears from a neighbour that the store is lost, or answers again.
    using GuideHandler = std::function<void(bool answers)>;
    void watchGuide(GuideHandler handler) { this->guideHandler = std::move(handler); }

    //! True if a neighbour that is followed would tell at once that the store is lost or back.
    bool isGuided() const;

    //! Closes connections that are no longer used, and asks a neighbour for the store while that is
    //! lost; call it a few times a second.
    void tick();

private:
    struct Listing;
    struct Watch;
    struct Lane
    {
        std::unique_ptr<net::IHttpConnection> connection;
        std::chrono::steady_clock::time_point usedAt;
    };

    using RelayHandler = std::function<void(std::optional<RelayAnswer> answer)>;

    std::optional<net::Endpoint> pickRelay();
    bool isAvoided(const net::Endpoint &relay) const;
    //! The listing that \a handler hears of once.
    Listing begin(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
                  ListingHandler handler);
    void listStore(const Listing &listing);
    void onPage(const Listing &listing, const store::StoreListing &page);
    void listRelay(const net::Endpoint &relay, const Listing &listing);
    void watchStore(const Watch &watch);
    void watchRelay(const net::Endpoint &relay, const Watch &watch);

    //! Asks \a relay; \a handler hears std::nullopt if it fails.
    void ask(const net::Endpoint &relay, const std::string &prefix, const net::HttpRequest &request,
             RelayHandler handler);
    void askForContact();
    void guide(bool answers);
    void noteFailed(const net::Endpoint &relay, const std::string &prefix,
                    const net::HttpResult &result);
    net::IHttpConnection &connectionTo(const net::Endpoint &relay, const std::string &prefix);

    store::IStore &platform;
    ChangeBoard &board;
    net::IEventLoop &loop;
    const IClock &clock;
    telemetry::IEventLog &log;
    ConnectionFactory connect;
    VmName self;
    const membership::IMembership *membership = nullptr;
    bool inTrouble = false;
    GuideHandler guideHandler;

    //! When a neighbour last answered.
    std::optional<std::chrono::steady_clock::time_point> guidedAt;
    std::chrono::steady_clock::time_point askedForContactAt;

    //! Neighbours that failed, with the time until which they are not asked.
    std::map<net::Endpoint, std::chrono::steady_clock::time_point> avoidedUntil;
    std::map<std::pair<std::string, net::Endpoint>, Lane> lanes;
    StartLister starter;

    //! Set as soon as a listing is answered or given up.
    std::map<std::string, std::shared_ptr<bool>> listingOver;
};
}
