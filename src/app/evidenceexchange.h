#pragma once

#include "app/duetimer.h"
#include "app/stalldetector.h"
#include "evidence/sharedevidence.h"
#include "global/name.h"

#include <chrono>
#include <cstdint>
#include <span>

namespace radishladder {
class IClock;
}
namespace radishladder::flows {
class FlowTable;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::net {
class IEventLoop;
}
namespace radishladder::telemetry {
class IEventLog;
class IMetrics;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
}

namespace radishladder::app {
class PeerSocket;

//! Exchanges evidence of silent upstreams with the other VMs of the data centre. A VM whose socket
//! is not open uses only its own evidence.
class EvidenceExchange
{
public:
    //! Parts of the process that the exchange uses.
    struct Parts
    {
        net::IEventLoop &loop;
        const IClock &clock;
        IRandom &random;
        PeerSocket &socket;
        const membership::IMembership &membership;
        const upstreams::UpstreamRegistry &registry;
        const flows::FlowTable &table;
        telemetry::IEventLog &log;
        telemetry::IMetrics &metrics;
    };

    EvidenceExchange(const Parts &parts, const VmName &self);

    evidence::ISharedEvidence &sharedEvidence() { return this->evidence; }

    //! Must be called several times per second, so that pauses of the process are detected.
    void tick();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Discards all evidence after a pause; returns true if datagrams may have been queued since.
    bool checkPause();
    void receive(std::span<const std::uint8_t> datagram);
    void sendDue();
    void logChanges(TimePoint now);
    void publishMetrics(TimePoint now);

    Parts parts;
    evidence::SharedEvidence evidence;
    DueTimer timer;
    StallDetector stallDetector;
    bool wasPaused = false;
};
}
