#include "radishbench/departures.h"

#include "radishbench/cluster.h"

#include <algorithm>

namespace radishladder::radishbench {
namespace {
using TimePoint = Departures::TimePoint;

//! Raises \a longest to the time from \a since to \a last.
void noteLast(std::optional<double> &longest, TimePoint since, TimePoint last)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(last - since).count());
    longest = std::max(longest.value_or(0), seconds);
}

bool isAnyBetween(const std::vector<TimePoint> &times, TimePoint from, TimePoint until)
{
    return std::ranges::any_of(
        times, [from, until](TimePoint time) { return from <= time && time <= until; });
}
}

void Departures::upstreamLeft(const std::string &upstream, TimePoint at)
{
    this->leavingUpstreams[upstream] = at;
}

void Departures::upstreamReturned(const std::string &upstream)
{
    const auto found = this->leavingUpstreams.find(upstream);
    const standins::UpstreamStandin *host = this->cluster.findUpstream(upstream);
    if (found == this->leavingUpstreams.end() || host == nullptr) {
        return;
    }
    noteLast(this->lastNewWork, found->second, host->log().lastNewWork);
    this->leavingUpstreams.erase(found);
}

void Departures::dataCentreLeft(const std::string &dataCentre, TimePoint at)
{
    this->dataCentresOut[dataCentre] = at;
    this->dataCentreHistory[dataCentre].push_back(at);
}

void Departures::dataCentreReturned(const std::string &dataCentre)
{
    const auto found = this->dataCentresOut.find(dataCentre);
    if (found == this->dataCentresOut.end()) {
        return;
    }
    for (const auto &host : this->cluster.upstreams()) {
        if (host->description().dataCentre.str() == dataCentre) {
            noteLast(this->lastPacket, found->second, host->log().lastPacket);
            noteLast(this->lastRequest, found->second, host->log().lastRequest);
        }
    }
    const auto relayed = this->cluster.link().lastRelayTo(DataCentreName(dataCentre));
    noteLast(this->lastRelay, found->second, relayed.value_or(found->second));
    this->dataCentresOut.erase(found);
}

void Departures::upstreamKilled(const std::string &upstream, TimePoint at)
{
    this->kills[upstream].push_back(at);
}

void Departures::finish()
{
    while (!this->leavingUpstreams.empty()) {
        const std::string upstream = this->leavingUpstreams.begin()->first;
        this->upstreamReturned(upstream);
    }
    while (!this->dataCentresOut.empty()) {
        const std::string dataCentre = this->dataCentresOut.begin()->first;
        this->dataCentreReturned(dataCentre);
    }
}

bool Departures::wasDataCentreOut(const std::string &upstream, TimePoint from,
                                  TimePoint until) const
{
    const standins::UpstreamStandin *host = this->cluster.findUpstream(upstream);
    if (host == nullptr) {
        return false;
    }
    const auto found = this->dataCentreHistory.find(host->description().dataCentre.str());
    return found != this->dataCentreHistory.end() && isAnyBetween(found->second, from, until);
}

bool Departures::wasKilled(const std::string &upstream, TimePoint from, TimePoint until) const
{
    const auto found = this->kills.find(upstream);
    return found != this->kills.end() && isAnyBetween(found->second, from, until);
}
}
