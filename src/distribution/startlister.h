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

namespace radishladder::distribution {

//! Lists what a VM cannot start without: from the store, or, while that is late or fails, from VMs
//! that run on.
class StartLister
{
public:
    StartLister(store::IStore &store, const IClock &clock, telemetry::IEventLog &log,
                SeedClient::ConnectionFactory connect, std::vector<net::Endpoint> vms);

    //! First page of \a prefix. What VMs hand over is whole and has an age.
    void list(const std::string &prefix, store::IStore::ListingHandler handler);

    //! Gives the listing of \a prefix up.
    void abandon(const std::string &prefix);

    //! Call it a few times a second. While the store is lost a listing waits for other VMs, since
    //! nobody repeats it.
    void tick(bool isStoreLost);

private:
    struct Awaited
    {
        std::uint64_t number = 0;
        store::IStore::ListingHandler handler;
        std::chrono::steady_clock::time_point since;
        bool isAsked = false;
        std::optional<store::StoreListing> failure;
    };

    void onStore(const std::string &prefix, std::uint64_t number, const store::StoreListing &page);
    void onSeed(const std::string &prefix, const net::Endpoint &vm, const RelayAnswer &answer);
    void askSeeds(const std::string &prefix, Awaited &awaited);
    void finish(const std::string &prefix, const store::StoreListing &listing);

    store::IStore &store;
    const IClock &clock;
    telemetry::IEventLog &log;
    SeedClient seeds;
    std::uint64_t lastNumber = 0;
    std::map<std::string, Awaited> awaited;
};
}
