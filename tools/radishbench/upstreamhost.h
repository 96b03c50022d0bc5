#pragma once

#include "flows/types/flowkey.h"
#include "net/types/endpoint.h"
#include "platform/standins/storeentries.h"

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}
namespace radishladder::platform {
struct WirePacket;
}
namespace radishladder::standins {
class MemoryStore;
}

namespace radishladder::radishbench {
class CheckResults;
class DisturbanceTracker;
class PublishedRoutes;

//! Stand-in of an upstream: accepts flows, sends its responses directly to the clients without
//! passing a VM, and checks that it receives only packets that are meant for it and no new flows
//! that draining, evacuation, warm-up or the configuration rule out.
class UpstreamHost
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    UpstreamHost(net::IEventLoop &loop, standins::MemoryStore &store, CheckResults &results,
                 platform::UpstreamEntry entry, net::Endpoint clientEndpoint,
                 const DisturbanceTracker &disturbances, const PublishedRoutes &routes);
    ~UpstreamHost();

    //! Opens the socket and writes the upstream's entry to the store; returns false if the address
    //! is in use.
    bool start();

    //! Writes the entry again, or removes it again, after the store was restored from an older
    //! copy.
    void writeAgain();

    //! Marks the upstream's entry as draining; the upstream continues to serve its flows.
    void drain();

    //! Sets since when the upstream's data centre is evacuated; std::nullopt if it is not.
    void setEvacuatedSince(std::optional<TimePoint> since) { this->evacuatedSince = since; }

    //! Stops the upstream without notice; its entry is removed from the store after \a entryExpiry.
    void crash(std::chrono::milliseconds entryExpiry);

    //! Stops a drained upstream and removes its entry.
    void leave();

    bool isUp() const { return this->socket != nullptr; }
    bool isDraining() const { return this->entry.draining; }
    const platform::UpstreamEntry &description() const { return this->entry; }

    //! Returns the sequence number with which the upstream accepted \a flow; std::nullopt if it
    //! does not have the flow.
    std::optional<std::uint32_t> flowSequence(const flows::FlowKey &flow) const;

private:
    struct Flow
    {
        std::uint32_t sequence = 0;
        bool isOpen = false;

        //! Packets that belong to the flow of the same client on another upstream, and when the
        //! first of them arrived.
        int foreignPackets = 0;
        TimePoint firstForeign;
    };

    void receive();
    void handle(std::span<const std::uint8_t> datagram, std::uint32_t vmAddress);
    void accept(const platform::WirePacket &packet, std::uint32_t vmAddress);
    //! Sends \a synAck again after \a delay if its flow has not opened by then, \a times times,
    //! with growing delays.
    void repeatSynAck(const platform::WirePacket &synAck, std::chrono::milliseconds delay,
                      int times);
    //! Returns true for one SYN+ACK in some, the same ones for a seed.
    bool isLost(const flows::FlowKey &flow) const;
    //! Records a packet for a flow that opened on another upstream.
    void recordForeign(Flow &flow, const platform::WirePacket &packet, std::uint32_t vmAddress);
    void checkNewFlow(const platform::WirePacket &packet, std::uint32_t vmAddress, TimePoint now);
    void checkWarmup(TimePoint now);
    std::string lateFlowText(std::uint32_t vmAddress, TimePoint change) const;
    void serve(const platform::WirePacket &packet, std::uint32_t vmAddress);
    void send(const platform::WirePacket &packet);
    void publish();

    net::IEventLoop &loop;
    standins::MemoryStore &store;
    CheckResults &results;
    platform::UpstreamEntry entry;
    net::Endpoint clientEndpoint;
    const DisturbanceTracker &disturbances;
    const PublishedRoutes &routes;
    std::unique_ptr<net::BatchSocket> socket;
    bool hasEntry = false;
    TimePoint drainingSince;
    TimePoint coldUntil;

    //! Arrival times of the SYNs of the last second, recorded while the upstream is cold.
    std::deque<TimePoint> coldSynTimes;
    std::optional<TimePoint> evacuatedSince;
    std::unordered_map<flows::FlowKey, Flow> flows;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
