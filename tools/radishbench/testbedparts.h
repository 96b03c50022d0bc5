#pragma once

#include "global/seededrandom.h"
#include "net/libeventloop.h"
#include "radishbench/addresses.h"
#include "radishbench/checkresults.h"
#include "radishbench/disturbancetracker.h"
#include "radishbench/publishedroutes.h"
#include "radishbench/testbedplan.h"
#include "standins/memorystore.h"

#include <memory>
#include <vector>

namespace radishladder::radishbench {
class UpstreamHost;
class VmHandle;

//! Parts of a testbed that fault injectors and checks share.
struct TestbedParts
{
    explicit TestbedParts(const TestbedPlan &plan);
    ~TestbedParts();

    //! Starts one more upstream in data centre \a dataCentre that is cold for \a coldMs.
    void addUpstream(int dataCentre, int coldMs);

    //! Writes a configuration to the store as an operator would: the two routes that are always
    //! published and \a extraRoutes more.
    void publishConfiguration(int version, int extraRoutes);

    std::size_t randomIndex(std::size_t count) { return this->random.next() % count; }

    TestbedPlan plan;
    Addresses addresses;
    net::LibeventLoop loop;
    SeededRandom random;
    CheckResults results;
    DisturbanceTracker disturbances;
    PublishedRoutes routes;
    standins::MemoryStore store;
    std::vector<std::unique_ptr<VmHandle>> vms;
    std::vector<std::unique_ptr<UpstreamHost>> upstreams;
};

//! Number of the first service address that only some configurations route; the further ones
//! follow in steps of two, because only even ports belong to the service "portal".
inline constexpr int kFirstExtraRoute = 10;
inline constexpr std::size_t kMaxExtraRoutes = 20;

//! Returns the name of data centre \a number.
std::string dataCentreName(int number);
}
