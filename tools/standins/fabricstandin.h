#pragma once

#include "net/types/endpoint.h"
#include "standins/delayline.h"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace radishladder {
class IRandom;
}

namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}

namespace radishladder::settings {
struct VmSettings;
}

namespace radishladder::standins {

//! The fabric in front of the entry VMs: hands each packet to any VM of its list.
class FabricStandin
{
public:
    //! Shares of packets, 0 to 1, that meet each disturbance.
    struct Disturbance
    {
        double loss = 0;
        double duplicate = 0;
        double reorder = 0;
    };

    FabricStandin(const net::Endpoint &local, std::vector<settings::VmSettings> vms,
                  std::chrono::microseconds delay, IRandom &random, net::IEventLoop &loop);
    ~FabricStandin();

    bool start();

    //! Sends \a packet to a random listed VM, through delay and disturbance.
    void deliver(std::span<const std::uint8_t> packet);
    void flush();

    //! Where the next request of a caller goes.
    net::Endpoint requestEndpoint();

    //! Whether the VM with \a index is on the list; a dead one stays until it is taken off.
    void setListed(std::size_t index, bool listed);

    //! Changed in place by faults.
    Disturbance &disturbance() { return this->disturbed; }

private:
    bool happens(double share);
    void send(std::span<const std::uint8_t> packet);
    const settings::VmSettings &anyVm();

    net::Endpoint local;
    std::vector<settings::VmSettings> vms;
    std::vector<std::size_t> listed;
    std::chrono::microseconds delay;
    IRandom &random;
    DelayLine line;
    Disturbance disturbed;
    std::unique_ptr<net::BatchSocket> socket;
};
}
