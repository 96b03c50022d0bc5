#pragma once

#include "distribution/types/relayera.h"
#include "net/ihttpserver.h"
#include "store/types/storerevision.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace radishladder {
class IClock;
}

namespace radishladder::distribution {
class ChangeCache;
enum class SnapshotAge : std::uint8_t;
struct RelayResponse;
struct SnapshotOffer;

//! Serves peers that watch the store through this VM, and VMs that start from its snapshots (see
//! relayprotocol.h). Responds 503 to requests that it cannot serve, or 502 if the store does not
//! respond either.
class RelayServer
{
public:
    RelayServer(ChangeCache &cache, const IClock &clock);

    //! Returns true if \a path belongs to the relay protocol.
    static bool acceptsPath(const std::string &path);

    //! Sets the function that receives offers of other VMs and returns whether this VM will request
    //! their snapshots; without it no offer is needed.
    void setOfferHandler(std::function<bool(const SnapshotOffer &offer)> handler)
    {
        this->offerHandler = std::move(handler);
    }

    void handle(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);

    //! Responds to requests whose wait has ended, and renews the byte budget of listings; must be
    //! called several times a second.
    void tick();

    std::size_t pendingCount() const { return this->pendingRequests.size(); }

private:
    struct PendingRequest
    {
        std::string prefix;

        //! Revision after which changes are requested; std::nullopt if the request is for a
        //! listing.
        std::optional<std::uint64_t> after;
        SnapshotAge age{};
        RelayEra era;
        bool acceptsCompressed = false;
        std::chrono::steady_clock::time_point arrivedAt;
        std::chrono::steady_clock::time_point until;
        net::IHttpServer::Responder respond;
    };

    //! Identifies responses with equal bodies: prefix, revision after which changes are requested,
    //! revision and ages of the response, and whether the body is compressed.
    using BodyKey =
        std::tuple<std::string, std::optional<std::uint64_t>, store::StoreRevision,
                   std::chrono::milliseconds, std::optional<std::chrono::milliseconds>, bool>;

    void handleChanges(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);
    void handleOffer(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);
    void handleListing(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);

    //! Responds to \a request now or later.
    void respondOrWait(PendingRequest request);

    //! Returns the requested data, or Unavailable if this VM has none of the requested era.
    RelayResponse dataFor(const PendingRequest &pending) const;

    //! Returns the 502 or 503 response to a request that this VM cannot serve.
    net::HttpResponse unavailableResponse() const;

    //! Responds to \a pending if there is a result or its wait has ended; returns false if it has
    //! to keep waiting.
    bool tryRespond(const PendingRequest &pending);
    void respondToPending();

    //! Returns the response with a listing or changes, or with QueryStore if the data is too large.
    net::HttpResponse dataResponse(const PendingRequest &pending, const RelayResponse &response);
    //! Returns the age of the data when \a pending arrived, 0 if it was read later.
    std::chrono::milliseconds freshAgeAtArrival(const PendingRequest &pending,
                                                const RelayResponse &response) const;
    const std::string &bodyFor(const PendingRequest &pending, const RelayResponse &response);

    ChangeCache &cache;
    const IClock &clock;
    std::function<bool(const SnapshotOffer &offer)> offerHandler;
    std::vector<PendingRequest> pendingRequests;

    //! Bodies sent since the last tick; VMs that start together request the same listings.
    std::map<BodyKey, std::string> bodies;

    //! Bytes of listings that may be sent until the next tick.
    std::size_t listingBudget;
};
}
