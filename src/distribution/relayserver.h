#pragma once

#include "net/ihttpserver.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishladder {
class IClock;
}

namespace radishladder::distribution {
class ChangeCache;

//! Serves peers that watch the store through this VM, and VMs that start from its snapshots (see
//! relayprotocol.h). Responds 503 to requests that it cannot serve, or 502 if the store does not
//! respond either.
class RelayServer
{
public:
    RelayServer(ChangeCache &cache, const IClock &clock);

    //! Returns true if \a path belongs to the relay protocol.
    static bool acceptsPath(const std::string &path);

    void handle(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);

    //! Responds to watch requests whose wait has ended, and renews the byte budget of listings;
    //! must be called several times a second.
    void tick();

    std::size_t pendingCount() const { return this->pendingRequests.size(); }

private:
    struct PendingRequest
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::chrono::steady_clock::time_point until;
        net::IHttpServer::Responder respond;
    };

    //! Response texts by prefix and revision, shared by peers that send the same request.
    using ResponseTexts = std::map<std::pair<std::string, std::uint64_t>, std::string>;

    void handleChanges(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);
    void handleListing(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);

    //! Returns the 502 or 503 response to a request that this VM cannot serve.
    net::HttpResponse unavailableResponse() const;

    //! Responds to \a pending if there is a result or its wait has ended; returns false if it has
    //! to keep waiting.
    bool tryRespond(const PendingRequest &pending, ResponseTexts &texts) const;
    void respondToPending();

    ChangeCache &cache;
    const IClock &clock;
    std::vector<PendingRequest> pendingRequests;

    //! Bytes of listings that may be sent until the next tick.
    std::size_t listingBudget;
};
}
