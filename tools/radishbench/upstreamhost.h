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
class Verdicts;
class Calm;
class PublishedRoutes;

//! An upstream as the platform describes it: accepts flows, answers requests straight to callers,
//! and checks that it gets only what is meant for it.
class UpstreamHost
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    UpstreamHost(net::IEventLoop &loop, standins::MemoryStore &store, Verdicts &verdicts,
                 platform::UpstreamEntry entry, net::Endpoint callerPort, const Calm &calm,
                 const PublishedRoutes &routes);
    ~UpstreamHost();

    //! Opens its socket and writes its entry; false if the address is taken.
    bool start();

    //! Says that it leaves; it goes on serving its flows.
    void drain();

    //! Operators took its data centre out at \a since.
    void setOut(std::optional<TimePoint> since) { this->outSince = since; }

    //! Ends without a word; its entry goes after \a lapse.
    void crash(std::chrono::milliseconds lapse);

    //! Ends after it has drained.
    void leave();

    bool isUp() const { return this->socket != nullptr; }
    bool isDraining() const { return this->entry.draining; }
    const platform::UpstreamEntry &description() const { return this->entry; }

    //! Sequence with which it accepted \a flow; nothing if it does not hold it.
    std::optional<std::uint32_t> heldFlow(const flows::FlowKey &flow) const;

private:
    struct Flow
    {
        std::uint32_t sequence = 0;
        bool isOpen = false;
    };

    void receive();
    void handle(std::span<const std::uint8_t> datagram, std::uint32_t vmAddress);
    void accept(const platform::WirePacket &packet, std::uint32_t vmAddress);
    void checkChanges(const platform::WirePacket &packet, std::uint32_t vmAddress, TimePoint now);
    void checkWarmup(TimePoint now);
    std::string lateFlow(std::uint32_t vmAddress, TimePoint change) const;
    void serve(const platform::WirePacket &packet);
    void send(const platform::WirePacket &packet);
    void publish();

    net::IEventLoop &loop;
    standins::MemoryStore &store;
    Verdicts &verdicts;
    platform::UpstreamEntry entry;
    net::Endpoint callerPort;
    const Calm &calm;
    const PublishedRoutes &routes;
    std::unique_ptr<net::BatchSocket> socket;
    TimePoint drainedAt;
    TimePoint coldUntil;

    //! First packets of the last second while it was cold.
    std::deque<TimePoint> coldOpenings;
    std::optional<TimePoint> outSince;
    std::unordered_map<flows::FlowKey, Flow> flows;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
