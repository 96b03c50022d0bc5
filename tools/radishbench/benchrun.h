#pragma once

#include "global/reason.h"
#include "net/curlhttpclient.h"
#include "radishbench/cluster.h"
#include "radishbench/configurationeditor.h"
#include "radishbench/configurationwatch.h"
#include "radishbench/departures.h"
#include "radishbench/faultdriver.h"
#include "radishbench/loadgenerator.h"
#include "radishbench/rollingrestart.h"
#include "radishbench/runrecorder.h"
#include "radishbench/types/measures.h"
#include "radishbench/types/runtraits.h"
#include "radishbench/vmmeter.h"

#include <json/value.h>
#include <optional>

namespace radishladder::radishbench {
struct Fault;
struct RunOptions;
struct Scenario;

//! One run of a scenario: starts the cluster, loads it, does the faults, and measures.
class BenchRun
{
public:
    BenchRun(const RunOptions &options, const Scenario &scenario, Deployment deployment,
             std::vector<Fault> faults, std::chrono::milliseconds duration);
    ~BenchRun();

    //! Runs to the end; false if it could not start or was interrupted (see lastReason()).
    bool run();

    //! Ends a run early; may be called from a signal watcher on the loop.
    void interrupt();

    Measures measures() const;
    RunTraits traits() const;
    const RunRecorder &recorder() const { return this->record; }
    net::IEventLoop &loop() { return this->cluster.loop(); }
    const Reason &lastReason() const { return this->reason; }

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    void beginLoad();
    void endLoad();
    void checkIdle(TimePoint since);
    void sample();
    void measureFlows(Measures &measures) const;
    void measureRequests(Measures &measures) const;
    void measureUpstreams(Measures &measures) const;
    std::optional<double> imbalance() const;

    const Scenario &scenario;
    std::vector<Fault> faults;
    std::chrono::milliseconds duration;
    Reason reason;
    RunRecorder record;
    Cluster cluster;
    net::CurlHttpClient client;
    ConfigurationWatch watch;
    ConfigurationEditor editor;
    Departures departures;
    RollingRestart rollingRestart;
    FaultDriver driver;
    LoadGenerator load;
    VmMeter meter;
    std::optional<double> idleCpu;
    std::optional<double> loadedCpu;
    std::uint64_t storeCallsBefore = 0;
    std::optional<double> storeCalls;
    std::optional<double> idleControlBytes;
    std::optional<double> controlBytes;
    std::optional<double> controlDatagrams;
    TimePoint loadBegan;
    TimePoint loadEnded;
    TimePoint ended;
};
}
