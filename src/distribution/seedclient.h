#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IHttpConnection;
struct HttpResult;
}

namespace radishladder::distribution {
struct RelayResponse;

//! Requests the latest snapshot of a prefix from seeds (VMs whose addresses are configured) while
//! the store does not respond.
//!
//! Load pattern: many VMs of a data centre stop and start again while the data centre is cut off or
//! the store is unavailable. VMs that kept running serve traffic from their cached data; the
//! restarted VMs need the same data.
class SeedClient
{
public:
    using ConnectionFactory =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &vm)>;
    using Handler = std::function<void(const net::Endpoint &vm, const RelayResponse &response)>;

    SeedClient(const IClock &clock, ConnectionFactory connect, std::vector<net::Endpoint> seeds);
    ~SeedClient();

    //! Returns false if there are no seeds.
    bool hasSeeds() const { return !this->seeds.empty(); }

    //! Requests \a prefix until one VM sends it; \a handler is called with the first valid
    //! response.
    void requestListing(const std::string &prefix, Handler handler);

    //! Stops requesting \a prefix.
    void cancel(const std::string &prefix);

    //! Retries requests without a valid response; must be called several times a second.
    void tick();

private:
    struct PendingRequest
    {
        Handler handler;
        std::chrono::steady_clock::time_point sentAt;
        bool isDone = false;
        std::vector<std::unique_ptr<net::IHttpConnection>> connections;
    };

    void send(const std::string &prefix, PendingRequest &pending);
    void onResult(const std::string &prefix, const net::Endpoint &vm,
                  const net::HttpResult &result);

    const IClock &clock;
    ConnectionFactory connect;
    std::vector<net::Endpoint> seeds;
    std::map<std::string, PendingRequest> pendingRequests;
};
}
