#pragma once

#include "global/seededrandom.h"
#include "net/libeventloop.h"
#include "radishbench/addresses.h"
#include "radishbench/calm.h"
#include "radishbench/publishedroutes.h"
#include "radishbench/verdicts.h"
#include "radishbench/worldplan.h"
#include "standins/memorystore.h"

#include <memory>
#include <vector>

namespace radishladder::radishbench {
class UpstreamHost;
class VmHandle;

//! What a world consists of, for those that act on it.
struct WorldParts
{
    explicit WorldParts(const WorldPlan &plan);
    ~WorldParts();

    //! Starts one more upstream in data centre \a dataCentre, cold for \a coldMs.
    void addUpstream(int dataCentre, int coldMs);

    //! Has the operator write a configuration with \a extraRoutes beside the two that always stand.
    void configure(int version, int extraRoutes);

    std::size_t pick(std::size_t count) { return this->random.next() % count; }

    WorldPlan plan;
    Addresses addresses;
    net::LibeventLoop loop;
    SeededRandom random;
    Verdicts results;
    Calm calm;
    PublishedRoutes routes;
    standins::MemoryStore store;
    std::vector<std::unique_ptr<VmHandle>> vms;
    std::vector<std::unique_ptr<UpstreamHost>> upstreams;
};

//! Number of the first service address that only some configurations route; the others follow by
//! twos.
inline constexpr int kFirstExtraRoute = 10;
inline constexpr std::size_t kMostExtraRoutes = 20;

//! Name of data centre \a number.
std::string dataCentreName(int number);
}
