#pragma once

#include "endpoint.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace radishladder::review {

//! A process of the daemon with its settings file.
class Vm
{
public:
    struct Settings
    {
        std::string name;
        std::string zone;
        std::uint32_t address = 0;
        std::uint16_t packetsPort = 0;
        Endpoint store;
        std::vector<Endpoint> seeds;
        bool isFirstStart = true;
    };

    //! \a command is that of the deploy file, \a folder receives the settings file and the log.
    Vm(Settings settings, std::vector<std::string> command, std::string folder);
    ~Vm();

    void start();
    void kill(int signal);

    //! Waits for the end of a process that was killed.
    void wait();

    //! Returns true if the process that was told to stop has ended.
    bool hasStopped();

    //! Returns true if the process that start() has started has ended by itself.
    bool hasEnded();

    Endpoint packets() const { return {this->settings.address, this->settings.packetsPort}; }
    Endpoint readiness() const;
    const Settings &vmSettings() const { return this->settings; }

    //! Address at which a VM at \a address serves its peers.
    static Endpoint relayOf(std::uint32_t address);

private:
    void writeSettings() const;
    std::string settingsPath() const;

    Settings settings;
    std::vector<std::string> command;
    std::string folder;
    pid_t process = -1;

    //! The process was sent a signal that ends it.
    bool isStopping = false;
};
}
