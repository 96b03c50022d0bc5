#pragma once

#include "flows/iflowrouter.h"
#include "flows/types/flowdependencies.h"
#include "flows/types/flowoptions.h"

#include <memory>

namespace radishladder::flows {
struct FlowPacket;

//! Routes by the agreed tables; where they may differ, by the record of the flow's home VM.
class FlowRouter : public IFlowRouter
{
public:
    FlowRouter(const FlowDependencies &dependencies, const FlowOptions &options);
    ~FlowRouter() override;

    PacketVerdict route(std::span<std::uint8_t> packet, PacketSource source,
                        std::chrono::steady_clock::time_point now) override;
    void tick(std::chrono::steady_clock::time_point now) override;

    //! Starts the hand-over of all records; the VM must already count as leaving.
    void prepareStop(std::chrono::steady_clock::time_point now) override;
    bool isReadyToStop(std::chrono::steady_clock::time_point now) const override;

private:
    struct Parts;

    PacketVerdict decide(FlowPacket &packet);
    PacketVerdict routeByTable(FlowPacket &packet);
    PacketVerdict routeContested(FlowPacket &packet);
    PacketVerdict routeAsHome(FlowPacket &packet);
    PacketVerdict routeWithoutRecord(FlowPacket &packet);
    PacketVerdict answerRecall(FlowPacket &packet);
    PacketVerdict answerRelay(FlowPacket &packet);
    PacketVerdict relayHome(FlowPacket &packet);
    PacketVerdict recall(FlowPacket &packet);
    PacketVerdict placeNew(FlowPacket &packet);
    PacketVerdict forwardOldest(FlowPacket &packet);
    PacketVerdict forwardUnrecorded(FlowPacket &packet, std::uint32_t upstream);
    PacketVerdict forward(FlowPacket &packet, std::uint32_t upstream);

    std::unique_ptr<Parts> parts;
};
}
