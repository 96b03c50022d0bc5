#pragma once

#include "flows/iflowrouter.h"
#include "flows/packetparser.h"

#include <map>
#include <memory>

namespace radishladder::settings {
class IConfigurationSource;
struct Configuration;
struct Service;
}

namespace radishladder::flows {

//! Baseline: every VM hashes every packet over the upstreams it currently believes in.
class HashRouter : public IFlowRouter
{
public:
    explicit HashRouter(settings::IConfigurationSource &source);

    PacketVerdict route(std::span<std::uint8_t> packet, PacketSource source,
                        std::chrono::steady_clock::time_point now) override;
    void tick(std::chrono::steady_clock::time_point now) override;
    void prepareStop(std::chrono::steady_clock::time_point now) override;
    bool isReadyToStop(std::chrono::steady_clock::time_point now) const override;

private:
    void reload(const settings::Configuration &configuration);

    settings::IConfigurationSource &source;
    PacketParser parser;
    std::map<std::pair<net::Endpoint, std::uint8_t>, std::shared_ptr<const settings::Service>>
        services;
};
}
