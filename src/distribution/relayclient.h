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
namespace radishladder::store {
class EraTracker;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::distribution {
struct RelayResponse;

//! Sends requests to the relays of this VM, and avoids a failed relay for some time.
class RelayClient
{
public:
    using ConnectionFactory =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &relay)>;
    using ResponseHandler = std::function<void(const std::optional<RelayResponse> &response)>;
    using ConnectionHandler = std::function<void(bool isConnected)>;

    RelayClient(const IClock &clock, telemetry::IEventLog &log, ConnectionFactory connect,
                VmName self);
    ~RelayClient();

    //! Sets the membership from which the relays are chosen; without it there are none.
    void setMembership(const membership::IMembership &members) { this->membership = &members; }

    //! Sets the tracker that checks the eras of responses. A response of an older era counts as
    //! failed; one without an era is used only while the store was never restored.
    void setEraTracker(store::EraTracker &tracker) { this->eraTracker = &tracker; }

    //! Returns true if this VM has relays, whether they respond or not.
    bool hasRelay() const;

    //! Returns true if this VM is a relay for its peers.
    bool isRelay() const;

    //! Returns the relay for the next request; std::nullopt if there is no relay or all relays
    //! are being avoided after failures.
    std::optional<net::Endpoint> nextRelay() const;

    //! Returns a relay other than \a relay, whether it is being avoided or not; std::nullopt if
    //! there is none.
    std::optional<net::Endpoint> otherRelay(const net::Endpoint &relay) const;

    //! Sends no new requests to \a relay for a moment, because its data is too old.
    void avoid(const net::Endpoint &relay);
    bool isAvoided(const net::Endpoint &relay) const { return this->isBackedOff(relay); }

    //! Sends \a request for \a prefix to \a relay; \a handler receives std::nullopt if the
    //! request fails.
    void send(const net::Endpoint &relay, const std::string &prefix,
              const net::HttpRequest &request, const ResponseHandler &handler);

    //! Cancels the requests for \a prefix.
    void cancel(const std::string &prefix);

    //! Sets the function that is called when a relay reports that the store is lost or responds
    //! again.
    void setConnectionHandler(ConnectionHandler handler)
    {
        this->connectionHandler = std::move(handler);
    }

    //! Returns true if a relay has responded recently and thus would report at once that the store
    //! is lost or restored.
    bool hasLiveRelay() const;

    //! Returns true if the last response of a relay named its era; a relay of the release before
    //! doesn't report that the store was restored from an older copy.
    bool showsEras() const { return this->isEraShown; }

    //! Closes idle connections and, while the store is lost, queries a relay for its connectivity
    //! to the store. Must be called several times a second.
    void tick(bool isStoreLost);

private:
    struct PooledConnection
    {
        std::unique_ptr<net::IHttpConnection> connection;
        std::chrono::steady_clock::time_point usedAt;
    };

    bool isBackedOff(const net::Endpoint &relay) const;
    net::IHttpConnection &connectionTo(const net::Endpoint &relay, const std::string &prefix);
    //! Returns true if a relay that cannot serve a request reports a newer era than the known one.
    bool learnEra(const net::HttpResult &result);
    void queryConnectivity();
    void onConnectivity(const net::Endpoint &relay, const net::HttpResult &result);
    void notifyConnection(bool isConnected);
    void recordFailure(const net::Endpoint &relay, const std::string &prefix,
                       const net::HttpResult &result);

    const IClock &clock;
    telemetry::IEventLog &log;
    ConnectionFactory connect;
    VmName self;
    const membership::IMembership *membership = nullptr;
    store::EraTracker *eraTracker = nullptr;
    ConnectionHandler connectionHandler;
    bool isStoreLost = false;
    bool isEraShown = true;

    //! Time of the last response of a relay.
    std::optional<std::chrono::steady_clock::time_point> lastResponseAt;
    std::chrono::steady_clock::time_point connectivityQueriedAt;

    //! Relays that failed, with the time until which they receive no requests.
    std::map<net::Endpoint, std::chrono::steady_clock::time_point> backoffUntil;

    //! Connections by prefix and relay; connectivity queries have kConnectivityPath as prefix.
    std::map<std::pair<std::string, net::Endpoint>, PooledConnection> connections;
};
}
