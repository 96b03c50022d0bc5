// Case: the only VM of a zone is killed after a host of the zone has hung for moments.

#include "deployment.h"

#include <array>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {
using namespace radishladder::review;
using Duration = EventLoop::Duration;

//! VMs and hosts of a zone, as at the site nyelvmuhely.
struct Zone
{
    const char *name;
    std::size_t vms;
    std::size_t hosts;
};
constexpr std::array kZones{Zone{"obuda", 3, 4}, Zone{"ferencvaros", 3, 4}, Zone{"kobanya", 1, 3},
                            Zone{"ujpest", 2, 3}};
constexpr const char *kClientZone = "kobanya";

//! Index of the only VM of the clients' zone.
constexpr std::size_t kOnlyVm = 6;

//! Index of the host that hangs: one of 14, in the clients' zone.
constexpr std::size_t kHungHost = 8;
constexpr std::size_t kClients = 20;

//! The VMs run for this long before anything happens.
constexpr Duration kCalm{66000};

//! New long flows: 140 a second, around the beginning of each hang.
constexpr Duration kOpenInterval{7};
constexpr Duration kOpenBefore{100};
constexpr Duration kOpenFor{500};

//! The host hangs three times within the 6.5 s that the pages allow.
constexpr int kHangs = 3;
constexpr Duration kHangFor{1200};
constexpr Duration kHangInterval{1700};

//! Time between the first request of a flow and the second one.
constexpr Duration kPause{11000};

//! More than contact_ms after the last hang.
constexpr Duration kKillAfter{11400};
constexpr Duration kDarkFor{2800};
constexpr Duration kEndAfter{19000};

class LostNeighbours
{
public:
    LostNeighbours(Deployment &deployment, bool hasTrouble)
        : deployment(deployment), hasTrouble(hasTrouble)
    { }

    void prepare();
    void begin();

private:
    void addHost(const std::string &zone);
    void hang();
    void openFlows();
    void onEnd(const Client::Report &report);
    void judge();

    Deployment &deployment;
    bool hasTrouble;
    EventLoop::Clock::time_point openUntil;
    std::size_t nextClient = 0;

    //! Host at which each flow opened.
    std::map<FlowKey, const Host *> hostOf;

    //! Flows that hosts have reset, with the host.
    std::map<FlowKey, const Host *> resetBy;
    std::size_t answered = 0;
    std::size_t broken = 0;
    std::size_t otherEnds = 0;
};

void LostNeighbours::prepare()
{
    for (const Zone &zone : kZones) {
        this->deployment.addVms(zone.name, zone.vms);
        for (std::size_t i = 0; i < zone.hosts; ++i) {
            this->addHost(zone.name);
        }
    }
    this->deployment.addClients(kClientZone, kClients);
    this->deployment.configure(
        7, {{.name = "r-board", .address = this->deployment.routeAddress(0), .service = "portal"}},
        {{.name = "portal"}});
    for (const auto &client : this->deployment.allClients()) {
        client->onEnd = [this](const Client::Report &report) { this->onEnd(report); };
    }
}

void LostNeighbours::addHost(const std::string &zone)
{
    Host &host =
        this->deployment.addHost({.service = "portal", .zone = zone, .workTime = Duration(5)});
    host.onOpened = [this, &host](const Opening &opening) { this->hostOf[opening.flow] = &host; };
    host.onReset = [this, &host](const FlowKey &flow) { this->resetBy[flow] = &host; };
    host.start(false);
}

void LostNeighbours::begin()
{
    EventLoop &loop = this->deployment.eventLoop();
    loop.after(kCalm, [this, &loop]() {
        for (int i = 0; i < kHangs; ++i) {
            loop.after(i * kHangInterval, [this]() { this->hang(); });
        }
        loop.after(kKillAfter, [this, &loop]() {
            if (!this->hasTrouble) {
                return;
            }
            this->deployment.record("edge-7, the only VM of kobanya: loses power for 2800 ms");
            this->deployment.stopVm(kOnlyVm);
            loop.after(kDarkFor, [this]() { this->deployment.startVm(kOnlyVm); });
        });
        loop.after(kEndAfter, [this]() { this->judge(); });
    });
}

void LostNeighbours::hang()
{
    EventLoop &loop = this->deployment.eventLoop();
    this->openUntil = EventLoop::now() + kOpenFor;
    this->openFlows();
    loop.after(kOpenBefore, [this]() {
        if (this->hasTrouble) {
            this->deployment.record("host 9: hangs for 1200 ms");
            this->deployment.allHosts()[kHungHost]->pause(kHangFor);
        }
    });
}

void LostNeighbours::openFlows()
{
    if (EventLoop::now() >= this->openUntil) {
        return;
    }
    auto &clients = this->deployment.allClients();
    clients[this->nextClient++ % clients.size()]->open(
        {.route = this->deployment.routeAddress(0), .requests = 2, .pause = kPause});
    this->deployment.eventLoop().after(kOpenInterval, [this]() { this->openFlows(); });
}

void LostNeighbours::onEnd(const Client::Report &report)
{
    if (report.result == FlowResult::Answered) {
        ++this->answered;
        return;
    }
    const Host &hung = *this->deployment.allHosts()[kHungHost];
    const auto host = this->hostOf.find(report.flow);
    const auto resetter = this->resetBy.find(report.flow);
    const bool isBroken = report.result == FlowResult::Reset && host != this->hostOf.end()
        && host->second != &hung && resetter != this->resetBy.end()
        && resetter->second != host->second && report.vm != kOnlyVm;
    if (!isBroken) {
        ++this->otherEnds;
        return;
    }
    ++this->broken;
    this->deployment.record(
        "client " + endpointText(report.flow.first) + ": its open flow, taken by edge-"
        + std::to_string(report.vm + 1) + ", was reset by "
        + endpointText(resetter->second->hostSettings().address) + ", but the flow's host is "
        + endpointText(host->second->hostSettings().address));
}

void LostNeighbours::judge()
{
    const std::string summary = "flows answered twice: " + std::to_string(this->answered)
        + ", reset by another host than their own through a calm VM: "
        + std::to_string(this->broken) + ", ended otherwise: " + std::to_string(this->otherEnds);
    this->deployment.record(summary);
    std::cout << summary << '\n';
    this->deployment.finish(this->broken > 0);
}
}

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() < 4) {
        std::cerr << "lostneighbours RECORD FOLDER TROUBLE COMMAND...\n";
        return 2;
    }
    Deployment deployment(words[0], words[1], {words.begin() + 3, words.end()});
    LostNeighbours scenario(deployment, words[2] != "0");
    scenario.prepare();
    return deployment.run([&scenario]() { scenario.begin(); });
}
