#pragma once

#include "flows/iflowrouter.h"
#include "flows/packetparser.h"

#include <memory>

namespace radishladder::membership {
class IMembership;
}
namespace radishladder::settings {
class IConfigurationSource;
}

namespace radishladder::flows {
class HashCacheRouter;

//! Baseline: every packet goes through the flow's home VM, which remembers where it sent the flow.
class HomeRouter : public IFlowRouter
{
public:
    HomeRouter(settings::IConfigurationSource &source, const membership::IMembership &membership,
               std::size_t capacity);
    ~HomeRouter() override;

    PacketVerdict route(std::span<std::uint8_t> packet, PacketSource source,
                        std::chrono::steady_clock::time_point now) override;
    void tick(std::chrono::steady_clock::time_point now) override;
    void prepareStop(std::chrono::steady_clock::time_point now) override;
    bool isReadyToStop(std::chrono::steady_clock::time_point now) const override;

private:
    const membership::IMembership &membership;
    PacketParser parser;
    std::unique_ptr<HashCacheRouter> homeRouter;
};
}
