#pragma once

#include "net/types/endpoint.h"
#include "store/types/storerevision.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IHttpConnection;
struct HttpResult;
}
namespace radishladder::store {
class EraTracker;
}

namespace radishladder::distribution {
struct RelayResponse;
struct SnapshotOffer;

//! Requests the latest snapshot of a prefix, while the store does not respond, from seeds (VMs
//! whose addresses are configured) and from VMs that have offered their snapshots.
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

    //! Sets the tracker of the newest era. Requests name that era, and responses of an older era
    //! are ignored.
    void setEraTracker(store::EraTracker &tracker) { this->eraTracker = &tracker; }

    //! Returns false if there are neither seeds nor offers.
    bool hasSources() const { return !this->seeds.empty() || !this->offers.empty(); }

    //! Adds a VM that offers its snapshots to the VMs that are queried. Only the VMs with the
    //! newest data are kept; data of a newer era is newer whatever its age.
    void addOffer(const SnapshotOffer &offer);

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

        //! VMs whose offer came after the request was sent; it is sent to them at the next tick.
        std::vector<net::Endpoint> newVms;
        std::vector<std::unique_ptr<net::IHttpConnection>> connections;
    };

    //! An offer, the era of its data (without a revision) and the time at which its VM last
    //! received data of the store.
    struct KnownOffer
    {
        net::Endpoint vm;
        store::StoreRevision data;
        std::chrono::steady_clock::time_point dataTime;

        //! Returns true if the data of \a other is newer by more than VMs with the same data
        //! differ.
        bool isOutdatedBy(const KnownOffer &other) const;
        std::pair<store::StoreRevision, std::chrono::steady_clock::time_point> dataVersion() const
        {
            return {this->data, this->dataTime};
        }
    };

    void send(const std::string &prefix, PendingRequest &pending);
    void sendToNewVms(const std::string &prefix, PendingRequest &pending);
    void sendTo(const net::Endpoint &vm, const std::string &prefix, PendingRequest &pending);
    //! Records the era of a seed that cannot serve a request; the next request names it.
    void learnEra(const net::HttpResult &result);
    void onResult(const std::string &prefix, const net::Endpoint &vm,
                  const net::HttpResult &result);

    const IClock &clock;
    ConnectionFactory connect;
    std::vector<net::Endpoint> seeds;
    store::EraTracker *eraTracker = nullptr;

    //! Offers of other VMs, newest data first.
    std::vector<KnownOffer> offers;
    std::map<std::string, PendingRequest> pendingRequests;
};
}
