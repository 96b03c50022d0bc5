#include "radishbench/worldparts.h"

#include "platform/standins/storeentries.h"
#include "radishbench/upstreamhost.h"
#include "radishbench/vmhandle.h"

namespace radishladder::radishbench {
std::string dataCentreName(int number)
{
    return "dc" + std::to_string(number);
}

WorldParts::WorldParts(const WorldPlan &plan)
    : plan(plan), addresses{plan.lane}, random(plan.seed), store(this->loop)
{ }

WorldParts::~WorldParts() = default;

void WorldParts::addUpstream(int dataCentre, int coldMs)
{
    const int number = static_cast<int>(this->upstreams.size());
    platform::UpstreamEntry entry{.id = 0x1000U + static_cast<std::uint64_t>(number),
                                  .service = number % 4 == 3 ? "intake" : "portal",
                                  .address = this->addresses.upstream(number),
                                  .dataCentre = dataCentreName(dataCentre),
                                  .coldMs = coldMs};
    this->upstreams.push_back(std::make_unique<UpstreamHost>(this->loop, this->store, this->results,
                                                             entry, this->addresses.client(),
                                                             this->calm, this->routes));
    if (!this->upstreams.back()->start()) {
        this->results.count("upstreams that did not start");
    }
}

void WorldParts::configure(int version, int extraRoutes)
{
    std::vector<platform::RouteEntry> texts{{this->addresses.service(0), "portal"},
                                            {this->addresses.service(1), "intake"}};
    for (int i = 0; i < extraRoutes; ++i) {
        texts.push_back({this->addresses.service(kFirstExtraRoute + 2 * i), "portal"});
    }
    std::vector<std::uint16_t> ports;
    ports.reserve(texts.size());
    for (const platform::RouteEntry &text : texts) {
        ports.push_back(text.address.port);
    }
    this->store.put(platform::configurationKey(), platform::configurationValue(version, texts));
    this->routes.publish(ports, std::chrono::steady_clock::now());
}

}
