// Case: the store does the membership writes of two VMs late, after the VMs were killed.

#include "deployment.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {
using namespace radishladder::review;
using Duration = EventLoop::Duration;
using TimePoint = EventLoop::Clock::time_point;

constexpr const char *kZone = "zone-a";
constexpr std::size_t kVms = 4;

//! VMs whose first write is executed late and that are killed.
constexpr std::array<std::size_t, 2> kKilledVms{0, 1};
constexpr std::size_t kHosts = 8;

//! Hosts that a release replaces: a share of 0.375, one at a time.
constexpr std::size_t kNewHosts = 3;
constexpr std::size_t kClients = 40;
constexpr double kWarmupPerSecond = 8;

//! The rule's limit: warmup_per_s x warmup_overage + warmup_slack.
constexpr double kLimit = kWarmupPerSecond * 1.5 + 5;
constexpr Duration kWindow{1000};

//! 400 new flows a second, a request each.
constexpr Duration kOpenInterval{25};
constexpr int kOpenedAtOnce = 10;

//! Planned work: the VMs are stopped and started in turn.
constexpr Duration kRollAt{5000};
constexpr Duration kRollInterval{2000};

//! Within the 1 to 6 s after which lost writes are done.
constexpr Duration kWriteDelay{5500};

//! Both VMs have started again by then, and their writes have not been done yet.
constexpr Duration kKillAt{9800};
constexpr Duration kDown{500};

//! The leases of the killed processes and all traces of them in the other VMs have ended by then.
constexpr Duration kCalm{45000};
constexpr Duration kReleaseInterval{1500};
constexpr Duration kDrainTime{4000};
constexpr Duration kEndAfter{3000};

//! A flow that a cold host took.
struct ColdOpening
{
    const Host *host = nullptr;
    TimePoint sentAt;
    TimePoint arrivedAt;
    std::size_t vm = 0;
};

class LostMember
{
public:
    LostMember(Deployment &deployment, bool hasTrouble)
        : deployment(deployment), hasTrouble(hasTrouble)
    { }

    void prepare();
    void begin();

private:
    Host &addHost();
    void roll(std::size_t vm);
    void killVms();
    void openFlows();
    void replaceHost(std::size_t index);
    void onOpened(const Host &host, const Opening &opening);
    void recordMembers();
    void judge();

    Deployment &deployment;
    bool hasTrouble;
    bool isOpening = true;
    std::size_t nextClient = 0;
    std::map<std::pair<FlowKey, std::uint32_t>, std::pair<TimePoint, std::size_t>> syns;
    std::vector<ColdOpening> coldOpenings;
};

Host &LostMember::addHost()
{
    Host &host =
        this->deployment.addHost({.service = "portal", .zone = kZone, .workTime = Duration(10)});
    host.onOpened = [this, &host](const Opening &opening) { this->onOpened(host, opening); };
    return host;
}

void LostMember::prepare()
{
    this->deployment.addVms(kZone, kVms);
    this->deployment.addClients(kZone, kClients);
    for (std::size_t i = 0; i < kHosts; ++i) {
        this->addHost().start(false);
    }
    this->deployment.configure(
        7, {{.name = "r-board", .address = this->deployment.routeAddress(0), .service = "portal"}},
        {{.name = "portal", .warmupPerSecond = kWarmupPerSecond}});
    for (const auto &client : this->deployment.allClients()) {
        client->onSyn = [this](const FlowKey &flow, std::uint32_t copy, std::size_t vm) {
            this->syns[{flow, copy}] = {EventLoop::now(), vm};
        };
    }
}

void LostMember::roll(std::size_t vm)
{
    const std::string name = "edge-" + std::to_string(vm + 1);
    this->deployment.record(name + ": is sent SIGTERM");
    if (this->hasTrouble) {
        this->deployment.platformStore().delayNextWrite(this->deployment.storeAddressOf(vm),
                                                        kWriteDelay);
        this->deployment.record("store: will not answer the next write of " + name
                                + " and do it 5.5 s later");
    }
    this->deployment.restartVm(vm);
}

void LostMember::begin()
{
    EventLoop &loop = this->deployment.eventLoop();
    this->openFlows();
    for (std::size_t i = 0; i < kKilledVms.size(); ++i) {
        loop.after(kRollAt + i * kRollInterval, [this, i]() { this->roll(kKilledVms.at(i)); });
    }
    if (this->hasTrouble) {
        loop.after(kKillAt, [this]() { this->killVms(); });
    }
    for (std::size_t i = 0; i < kNewHosts; ++i) {
        loop.after(kCalm + i * kReleaseInterval, [this, i]() { this->replaceHost(i); });
    }
    loop.after(kCalm, [this]() { this->recordMembers(); });
    loop.after(kCalm + kNewHosts * kReleaseInterval + kEndAfter, [this]() { this->judge(); });
}

void LostMember::killVms()
{
    for (const std::size_t vm : kKilledVms) {
        this->deployment.record("edge-" + std::to_string(vm + 1) + ": is killed");
        this->deployment.stopVm(vm);
    }
    this->deployment.eventLoop().after(kDown, [this]() {
        for (const std::size_t vm : kKilledVms) {
            this->deployment.startVm(vm);
        }
    });
}

void LostMember::recordMembers()
{
    std::string line = "keys of the VMs in the store:";
    for (const std::string &key : this->deployment.platformStore().keysUnder("vms/")) {
        line += " " + key;
    }
    this->deployment.record(line);
}

void LostMember::openFlows()
{
    if (!this->isOpening) {
        return;
    }
    for (int i = 0; i < kOpenedAtOnce; ++i) {
        auto &clients = this->deployment.allClients();
        clients[this->nextClient++ % clients.size()]->open(
            {.route = this->deployment.routeAddress(0)});
    }
    this->deployment.eventLoop().after(kOpenInterval, [this]() { this->openFlows(); });
}

void LostMember::replaceHost(std::size_t index)
{
    Host &added = this->addHost();
    added.start(true);
    this->deployment.record("release: host " + std::to_string(kHosts + index + 1) + " starts, host "
                            + std::to_string(index + 1) + " drains");
    Host &old = *this->deployment.allHosts()[index];
    old.drain();
    this->deployment.eventLoop().after(kDrainTime, [&old]() { old.stop(); });
}

void LostMember::onOpened(const Host &host, const Opening &opening)
{
    const auto syn = this->syns.find({opening.flow, opening.copy});
    if (opening.isCold && syn != this->syns.end()) {
        this->coldOpenings.push_back(
            {&host, syn->second.first, opening.arrivedAt, syn->second.second});
    }
}

void LostMember::judge()
{
    this->isOpening = false;
    std::size_t most = 0;
    std::map<const Host *, std::array<std::size_t, kVms>> byHost;
    for (const ColdOpening &first : this->coldOpenings) {
        ++byHost[first.host].at(first.vm);
        const auto count =
            std::ranges::count_if(this->coldOpenings, [&first](const ColdOpening &opening) {
                return opening.host == first.host && opening.sentAt >= first.sentAt
                    && opening.arrivedAt < first.sentAt + kWindow;
            });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    for (const auto &[host, counts] : byHost) {
        std::string line =
            "flows to " + endpointText(host->hostSettings().address) + " while cold, by VM:";
        for (const std::size_t count : counts) {
            line += " " + std::to_string(count);
        }
        this->deployment.record(line);
    }
    const std::string summary = "most flows to a cold host in one second: " + std::to_string(most)
        + ", limit " + std::to_string(static_cast<int>(kLimit));
    this->deployment.record(summary);
    std::cout << summary << '\n';
    this->deployment.finish(static_cast<double>(most) > kLimit);
}
}

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() < 4) {
        std::cerr << "lostmember RECORD FOLDER TROUBLE COMMAND...\n";
        return 2;
    }
    Deployment deployment(words[0], words[1], {words.begin() + 3, words.end()});
    LostMember scenario(deployment, words[2] != "0");
    scenario.prepare();
    return deployment.run([&scenario]() { scenario.begin(); });
}
