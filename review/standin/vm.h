#pragma once

#include "loop.h"
#include "net.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {
class Record;

//! Process of one VM, and its state in the rotation of the routers.
class Vm
{
public:
    struct Settings
    {
        std::string name;
        std::string zone;
        std::uint32_t address = 0;
        Endpoint store;
        std::uint16_t packets = 0;
        std::uint16_t readiness = 0;
        std::uint16_t relay = 0;
        std::uint16_t operations = 0;
        std::vector<std::uint32_t> seeds;
        std::string program;
        std::string directory;
    };

    Vm(Loop &loop, Record &record, Settings settings);
    ~Vm();
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    //! Starts the process; \a isFirstStart is true when the whole deployment starts.
    void start(bool isFirstStart);

    //! Sends SIGTERM, SIGKILL after the grace period, and starts the process again after it ended.
    void restart();

    //! Probes the readiness address twice a second, as the routers do.
    void startProbes();

    Time nextProbe() const { return this->nextProbeAt; }
    bool isInRotation() const { return this->misses < 2; }
    const std::string &name() const { return this->settings.name; }
    Endpoint packets() const { return {this->settings.address, this->settings.packets}; }

private:
    void writeSettings(bool isFirstStart) const;
    void probe();
    void endProbe(bool isOk);
    void startAfterExit(Time killAt);

    Loop &loop;
    Record &record;
    Settings settings;
    pid_t process = -1;
    int misses = 2;
    int probeSocket = -1;
    std::uint64_t probes = 0;
    Time nextProbeAt;
};
}
