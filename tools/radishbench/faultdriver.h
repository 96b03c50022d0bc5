#pragma once

#include "radishbench/types/fault.h"

#include <chrono>
#include <functional>
#include <vector>

namespace radishladder::radishbench {
class Cluster;
class ConfigurationEditor;
class ConfigurationWatch;
class Departures;
class RollingRestart;
class RunRecorder;

//! Does the faults of a run at their times, and ends those that have a length.
class FaultDriver
{
public:
    FaultDriver(Cluster &cluster, ConfigurationEditor &editor, ConfigurationWatch &watch,
                Departures &departures, RollingRestart &rollingRestart, RunRecorder &recorder);

    //! Schedules \a faults, counted from now on.
    void schedule(const std::vector<Fault> &faults);

private:
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void changeVm(const Fault &fault, std::size_t index);
    void changeUpstream(const Fault &fault);
    void changeStore(const Fault &fault, bool begins);
    void changeNetwork(const Fault &fault, bool begins);
    void drainUpstream(const std::string &upstream, bool drain);
    void takeOut(const std::string &dataCentre, bool out);
    void coolDown(const std::string &dataCentre);
    void changeAnything();

    Cluster &cluster;
    ConfigurationEditor &editor;
    ConfigurationWatch &watch;
    Departures &departures;
    RollingRestart &rollingRestart;
    RunRecorder &recorder;
};
}
