#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace radishladder::net {
class IHttpClient;
}

namespace radishladder::radishbench {
class Cluster;
class ConfigurationWatch;
class RunRecorder;

//! Planned stops and starts of VMs, one by one or all in turn: stop, wait for the end, start, wait
//! until it is ready.
class RollingRestart
{
public:
    RollingRestart(Cluster &cluster, ConfigurationWatch &watch, net::IHttpClient &client,
                   RunRecorder &recorder);

    //! Restarts every VM, each after the one before it is ready again.
    void begin();

    //! Asks the VM with \a index to stop.
    void stop(std::size_t index);

    //! Starts the VM as soon as its last process has ended.
    void startWhenEnded(std::size_t index);

    //! VMs that were restarted in turn and became ready.
    std::uint64_t restarted() const { return this->restartedCount; }

    //! No further VM is restarted.
    void cease() { this->ceased = true; }

private:
    using Next = std::function<void()>;

    void restart(std::size_t index);
    void whenEnded(std::size_t index, Next next);
    void start(std::size_t index);
    void whenReady(std::size_t index, const Next &next);

    Cluster &cluster;
    ConfigurationWatch &watch;
    net::IHttpClient &client;
    RunRecorder &recorder;
    bool ceased = false;
    std::uint64_t restartedCount = 0;
};
}
