#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::radishbench {
class Cluster;

//! When operators took upstreams and data centres out, and how long work still reached them.
class Departures
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit Departures(const Cluster &cluster) : cluster(cluster) { }

    void upstreamLeft(const std::string &upstream, TimePoint at);
    void upstreamReturned(const std::string &upstream);
    void dataCentreLeft(const std::string &dataCentre, TimePoint at);
    void dataCentreReturned(const std::string &dataCentre);
    void upstreamKilled(const std::string &upstream, TimePoint at);

    //! Measures what is still out; call it once at the end.
    void finish();

    bool isOut(const std::string &dataCentre) const
    {
        return this->dataCentresOut.contains(dataCentre);
    }

    //! True if the data centre of \a upstream was taken out between the two times.
    bool wasDataCentreOut(const std::string &upstream, TimePoint from, TimePoint until) const;

    bool wasKilled(const std::string &upstream, TimePoint from, TimePoint until) const;

    //! Longest time from an accepted change to the last packet or request, the last request alone,
    //! the last relayed packet, or the last new work;
    //! std::nullopt if nothing left.
    std::optional<double> secondsToLastPacket() const { return this->lastPacket; }
    std::optional<double> secondsToLastRequest() const { return this->lastRequest; }
    std::optional<double> secondsToLastRelay() const { return this->lastRelay; }
    std::optional<double> secondsToLastNewWork() const { return this->lastNewWork; }

private:
    const Cluster &cluster;
    std::map<std::string, TimePoint> leavingUpstreams;
    std::map<std::string, TimePoint> dataCentresOut;
    std::map<std::string, std::vector<TimePoint>> dataCentreHistory;
    std::map<std::string, std::vector<TimePoint>> kills;
    std::optional<double> lastPacket;
    std::optional<double> lastRequest;
    std::optional<double> lastRelay;
    std::optional<double> lastNewWork;
};
}
