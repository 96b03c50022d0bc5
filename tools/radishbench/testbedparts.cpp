#include "radishbench/testbedparts.h"

#include "platform/standins/storeentries.h"
#include "radishbench/upstreamhost.h"
#include "radishbench/vmhandle.h"

namespace radishladder::radishbench {
std::string dataCentreName(int number)
{
    return "dc" + std::to_string(number);
}

TestbedParts::TestbedParts(const TestbedPlan &plan)
    : plan(plan), addresses{plan.lane}, random(plan.seed), store(this->loop)
{ }

TestbedParts::~TestbedParts() = default;

void TestbedParts::addUpstream(int dataCentre, int coldMs)
{
    const int number = static_cast<int>(this->upstreams.size());
    platform::UpstreamEntry entry{.id = 0x1000U + static_cast<std::uint64_t>(number),
                                  .service = number % 4 == 3 ? "intake" : "portal",
                                  .address = this->addresses.upstream(number),
                                  .dataCentre = dataCentreName(dataCentre),
                                  .coldMs = coldMs};
    this->upstreams.push_back(std::make_unique<UpstreamHost>(this->loop, this->store, this->results,
                                                             entry, this->addresses.client(),
                                                             this->disturbances, this->routes));
    if (!this->upstreams.back()->start()) {
        this->results.count("upstreams that did not start");
    }
}

void TestbedParts::publishConfiguration(int version, int extraRoutes)
{
    std::vector<platform::RouteEntry> entries{{this->addresses.service(0), "portal"},
                                              {this->addresses.service(1), "intake"}};
    for (int i = 0; i < extraRoutes; ++i) {
        entries.push_back({this->addresses.service(kFirstExtraRoute + 2 * i), "portal"});
    }
    std::vector<std::uint16_t> ports;
    ports.reserve(entries.size());
    for (const platform::RouteEntry &routeEntry : entries) {
        ports.push_back(routeEntry.address.port);
    }
    this->store.put(platform::configurationKey(), platform::configurationValue(version, entries));
    this->routes.publish(ports, std::chrono::steady_clock::now());
}

}
