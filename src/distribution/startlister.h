#pragma once

#include "distribution/seedclient.h"
#include "store/istore.h"
#include "store/types/storelisting.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::store {
class EraTracker;
enum class ReadKind : std::uint8_t;
}

namespace radishladder::distribution {

//! Lists a prefix that a VM needs for its start: from the store, or from seed VMs and from VMs that
//! have offered their snapshots if the store responds late or fails.
class StartLister
{
public:
    StartLister(store::IStore &store, const IClock &clock, telemetry::IEventLog &log,
                SeedClient::ConnectionFactory connect, std::vector<net::Endpoint> seeds);

    //! Sets the tracker of the newest era; data and offers of an older era are ignored.
    void setEraTracker(store::EraTracker &tracker);

    //! Lists the first page of \a prefix. A listing from a seed is complete and has an age.
    void list(const std::string &prefix, store::ReadKind kind,
              store::IStore::ListingHandler handler);

    //! Handles the offer of a VM to send its snapshots; returns true if this VM needs them because
    //! the store does not respond.
    bool acceptOffer(const SnapshotOffer &offer);

    //! Cancels the listing of \a prefix.
    void cancel(const std::string &prefix);

    //! Must be called several times a second. While the store is lost, a failed listing stays
    //! pending until a seed responds, because the caller does not retry during an outage.
    void tick(bool isStoreLostNow);

private:
    struct PendingListing
    {
        //! Distinguishes the store's response from a late one to an earlier listing of the prefix.
        std::uint64_t id = 0;
        store::IStore::ListingHandler handler;
        std::chrono::steady_clock::time_point startedAt;
        bool isSeedRequestSent = false;

        //! The store's error response, kept while the seeds are queried.
        std::optional<store::StoreListing> failure;
    };

    void onStorePage(const std::string &prefix, std::uint64_t id, const store::StoreListing &page);
    void onSeedResponse(const std::string &prefix, const net::Endpoint &vm,
                        const RelayResponse &response);
    void requestFromSeeds(const std::string &prefix);
    void finish(const std::string &prefix, const store::StoreListing &listing);

    store::IStore &store;
    const IClock &clock;
    telemetry::IEventLog &log;
    SeedClient seedClient;
    store::EraTracker *eraTracker = nullptr;
    bool isStoreLost = false;
    std::uint64_t lastId = 0;
    std::map<std::string, PendingListing> pendingListings;
};
}
