// Case: the only VM of a zone is stopped and started as planned after SYN+ACKs of some flows were
// lost.

#include "deployment.h"

#include <array>
#include <iostream>
#include <map>
#include <set>
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

constexpr std::size_t kBusyClients = 20;

//! The VMs run for this long before anything happens.
constexpr Duration kCalm{66000};

//! Long flows in the clients' zone, in a quiet hour.
constexpr int kLongFlows = 8;
constexpr Duration kOpenInterval{500};

//! Transmissions of the SYN+ACK of the first host that takes a long flow, which are lost.
constexpr int kLostSynAcks = 2;

//! Time between the first request of a long flow and the second one.
constexpr Duration kPause{10000};
constexpr Duration kStopAfter{10000};

//! Other traffic in the other zones, 100 flows a second of a request each.
constexpr const char *kBusyZone = "obuda";
constexpr Duration kBusyFor{18000};
constexpr Duration kBusyInterval{10};
constexpr Duration kEndAfter{18000};

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
    void openBusy();
    bool loses(const Host &host, const FlowKey &flow, int transmission);
    void onEnd(const Client::Report &report);
    void judge();

    Deployment &deployment;
    bool hasTrouble;
    EventLoop::Clock::time_point busyUntil;
    std::set<FlowKey> longFlows;
    std::map<FlowKey, const Host *> firstHostOf;
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
    this->deployment.addClients(kClientZone, kLongFlows);
    this->deployment.addClients(kBusyZone, kBusyClients);
    this->deployment.configure(
        7, {{.name = "r-board", .address = this->deployment.routeAddress(0), .service = "portal"}},
        {{.name = "portal"}});
    for (int i = 0; i < kLongFlows; ++i) {
        Client &client = *this->deployment.allClients()[static_cast<std::size_t>(i)];
        client.onSyn = [this](const FlowKey &flow, std::uint32_t, std::size_t) {
            this->longFlows.insert(flow);
        };
        client.onEnd = [this](const Client::Report &report) { this->onEnd(report); };
    }
}

void LostNeighbours::addHost(const std::string &zone)
{
    Host &host =
        this->deployment.addHost({.service = "portal", .zone = zone, .workTime = Duration(5)});
    host.onOpened = [this, &host](const Opening &opening) { this->hostOf[opening.flow] = &host; };
    host.losesSynAck = [this, &host](const FlowKey &flow, int transmission) {
        return this->loses(host, flow, transmission);
    };
    host.onReset = [this, &host](const FlowKey &flow) { this->resetBy[flow] = &host; };
    host.start(false);
}

void LostNeighbours::begin()
{
    EventLoop &loop = this->deployment.eventLoop();
    loop.after(kCalm, [this, &loop]() {
        this->busyUntil = EventLoop::now() + kBusyFor;
        this->openBusy();
        for (int i = 0; i < kLongFlows; ++i) {
            loop.after(i * kOpenInterval, [this, i]() {
                this->deployment.allClients()[static_cast<std::size_t>(i)]->open(
                    {.route = this->deployment.routeAddress(0), .requests = 2, .pause = kPause});
            });
        }
        loop.after(kStopAfter, [this]() {
            this->deployment.record("edge-7, the only VM of kobanya: is sent SIGTERM");
            this->deployment.restartVm(kOnlyVm);
        });
        loop.after(kEndAfter, [this]() { this->judge(); });
    });
}

void LostNeighbours::openBusy()
{
    if (EventLoop::now() >= this->busyUntil) {
        return;
    }
    auto &clients = this->deployment.allClients();
    clients[kLongFlows + this->nextClient++ % kBusyClients]->open(
        {.route = this->deployment.routeAddress(0)});
    this->deployment.eventLoop().after(kBusyInterval, [this]() { this->openBusy(); });
}

bool LostNeighbours::loses(const Host &host, const FlowKey &flow, int transmission)
{
    if (!this->hasTrouble || !this->longFlows.contains(flow)) {
        return false;
    }
    const bool isFirstHost = this->firstHostOf.try_emplace(flow, &host).first->second == &host;
    const bool isLost = isFirstHost && transmission < kLostSynAcks;
    if (isLost) {
        this->deployment.record("lost: SYN+ACK " + std::to_string(transmission + 1) + " of "
                                + endpointText(host.hostSettings().address) + " to "
                                + endpointText(flow.first));
    }
    return isLost;
}

void LostNeighbours::onEnd(const Client::Report &report)
{
    if (report.result == FlowResult::Answered) {
        ++this->answered;
        return;
    }
    const auto host = this->hostOf.find(report.flow);
    const auto resetter = this->resetBy.find(report.flow);
    const bool isBroken = report.result == FlowResult::Reset && host != this->hostOf.end()
        && resetter != this->resetBy.end() && resetter->second != host->second;
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
    const std::string summary = "long flows answered twice: " + std::to_string(this->answered)
        + ", reset by another host than their own: " + std::to_string(this->broken)
        + ", ended otherwise: " + std::to_string(this->otherEnds);
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
