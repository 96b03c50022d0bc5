#pragma once

#include "radishbench/requestcaller.h"
#include "radishbench/types/load.h"
#include "standins/flowcaller.h"

#include <chrono>

namespace radishladder::net {
class IHttpClient;
}

namespace radishladder::radishbench {
class Cluster;

//! Callers' flows and requests at the rates of a load.
class LoadGenerator
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LoadGenerator(Cluster &cluster, net::IHttpClient &client, const Load &load);

    //! Binds the callers' addresses; false if that fails.
    bool start();

    //! Opens the long flows; they last \a duration.
    void begin(TimePoint now, std::chrono::milliseconds duration);

    //! Opens and sends what is due; call it often, also after the load has ended.
    void tick(TimePoint now);

    //! No new work from now on.
    void end() { this->loading = false; }

    //! True once nothing of the callers runs any more.
    bool isIdle() const;

    const standins::FlowCaller &flows() const { return this->flowCaller; }
    const RequestCaller &requests() const { return this->requestCaller; }

private:
    //! Turns a rate into whole pieces of work.
    class Pace
    {
    public:
        explicit Pace(double perSecond) : perSecond(perSecond) { }

        //! Pieces due since the last call.
        int due(std::chrono::duration<double> elapsed);

    private:
        double perSecond;
        double carried = 0;
    };

    void openShortFlow();
    void sendRequest();
    void sendUpload();

    Cluster &cluster;
    Load load;
    standins::FlowCaller flowCaller;
    RequestCaller requestCaller;
    Pace flowPace;
    Pace requestPace;
    Pace uploadPace;
    TimePoint lastTick;
    std::uint64_t flowTurn = 0;
    std::uint64_t requestTurn = 0;
    bool loading = false;
};

//! Requests a second that all upstreams of a service bear together, each taking \a time.
double capacityPerSecond(const Cluster &cluster, std::size_t service,
                         std::chrono::milliseconds time);
}
