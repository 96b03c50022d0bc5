// Case: the store turns one VM away, while a host starts again and is cold.

#include "deployment.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {
using namespace radishladder::review;
using Duration = EventLoop::Duration;
using TimePoint = EventLoop::Clock::time_point;

constexpr const char *kZone = "zone-a";
constexpr std::size_t kVms = 3;
constexpr std::size_t kRefusedVm = 2;
constexpr std::size_t kHosts = 7;
constexpr std::size_t kClients = 40;
constexpr double kWarmupPerSecond = 2;

//! The rule's limit: warmup_per_s x warmup_overage + warmup_slack.
constexpr double kLimit = kWarmupPerSecond * 1.5 + 5;
constexpr Duration kWindow{1000};

//! 360 new flows a second, a request each.
constexpr Duration kOpenInterval{25};
constexpr int kOpenedAtOnce = 9;

constexpr Duration kSettle{10000};
constexpr Duration kRefusedFor{9000};
constexpr Duration kDrainAfter{500};
constexpr Duration kServedWhileDraining{3500};
constexpr Duration kDown{50};
constexpr Duration kEnd{11000};

//! A flow that a cold host took.
struct ColdOpening
{
    TimePoint sentAt;
    TimePoint arrivedAt;
    std::size_t vm = 0;
};

class StaleView
{
public:
    StaleView(Deployment &deployment, bool hasTrouble)
        : deployment(deployment), hasTrouble(hasTrouble)
    { }

    void prepare();
    void begin();

private:
    void openFlows();
    void restartHost();
    void judge();
    void onOpened(const Host &host, const Opening &opening);

    Deployment &deployment;
    bool hasTrouble;
    bool isOpening = true;
    std::size_t nextClient = 0;
    std::map<std::pair<FlowKey, std::uint32_t>, std::pair<TimePoint, std::size_t>> syns;
    std::vector<ColdOpening> coldOpenings;
    std::size_t answered = 0;
    std::size_t failed = 0;
};

void StaleView::prepare()
{
    this->deployment.addVms(kZone, kVms);
    this->deployment.addClients(kZone, kClients);
    for (std::size_t i = 0; i < kHosts; ++i) {
        Host &host = this->deployment.addHost(
            {.service = "portal", .zone = kZone, .workTime = Duration(10)});
        host.onOpened = [this, &host](const Opening &opening) { this->onOpened(host, opening); };
        host.start(false);
    }
    this->deployment.configure(
        7, {{.name = "r-board", .address = this->deployment.routeAddress(0), .service = "portal"}},
        {{.name = "portal", .warmupPerSecond = kWarmupPerSecond}});
    for (const auto &client : this->deployment.allClients()) {
        client->onSyn = [this](const FlowKey &flow, std::uint32_t copy, std::size_t vm) {
            this->syns[{flow, copy}] = {EventLoop::now(), vm};
        };
        client->onEnd = [this](const Client::Report &report) {
            ++(report.result == FlowResult::Answered ? this->answered : this->failed);
        };
    }
}

void StaleView::begin()
{
    EventLoop &loop = this->deployment.eventLoop();
    this->openFlows();
    loop.after(kSettle, [this, &loop]() {
        if (this->hasTrouble) {
            this->deployment.record("store: turns edge-3 away with 503");
            this->deployment.platformStore().refuse(this->deployment.storeAddressOf(kRefusedVm),
                                                    true);
        }
        loop.after(kRefusedFor, [this]() {
            this->deployment.platformStore().refuse(this->deployment.storeAddressOf(kRefusedVm),
                                                    false);
            this->deployment.record("store: serves all VMs");
        });
        loop.after(kDrainAfter, [this]() { this->restartHost(); });
        loop.after(kEnd, [this]() { this->judge(); });
    });
}

void StaleView::openFlows()
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

void StaleView::restartHost()
{
    EventLoop &loop = this->deployment.eventLoop();
    Host &host = *this->deployment.allHosts().front();
    this->deployment.record("host 1: reports draining, the store has accepted it");
    host.drain();
    loop.after(kServedWhileDraining, [this, &loop, &host]() {
        this->deployment.record("host 1: exits");
        host.stop();
        loop.after(kDown, [this, &host]() {
            host.start(true);
            this->deployment.record("host 1: has started again under its id, cold for 2000 ms");
        });
    });
}

void StaleView::onOpened(const Host &host, const Opening &opening)
{
    if (&host != this->deployment.allHosts().front().get() || !opening.isCold) {
        return;
    }
    const auto syn = this->syns.find({opening.flow, opening.copy});
    if (syn != this->syns.end()) {
        this->coldOpenings.push_back({syn->second.first, opening.arrivedAt, syn->second.second});
        this->deployment.record("host 1: took a flow while cold, through edge-"
                                + std::to_string(syn->second.second + 1) + ", copy "
                                + std::to_string(opening.copy) + " of the SYN");
    }
}

void StaleView::judge()
{
    this->isOpening = false;
    std::ranges::sort(this->coldOpenings, {}, &ColdOpening::arrivedAt);
    std::size_t most = 0;
    std::array<std::size_t, kVms> byVm{};
    for (const ColdOpening &first : this->coldOpenings) {
        ++byVm.at(first.vm);
        // Sent and arrived inside the second that begins when the first one was sent.
        const auto count =
            std::ranges::count_if(this->coldOpenings, [&first](const ColdOpening &opening) {
                return opening.sentAt >= first.sentAt && opening.arrivedAt < first.sentAt + kWindow;
            });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    this->deployment.record("flows: " + std::to_string(this->answered) + " answered, "
                            + std::to_string(this->failed) + " not");
    for (std::size_t vm = 0; vm < kVms; ++vm) {
        this->deployment.record("flows to the cold host through edge-" + std::to_string(vm + 1)
                                + ": " + std::to_string(byVm.at(vm)));
    }
    const std::string summary = "most flows to the cold host in one second: " + std::to_string(most)
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
        std::cerr << "staleview RECORD FOLDER TROUBLE COMMAND...\n";
        return 2;
    }
    Deployment deployment(words[0], words[1], {words.begin() + 3, words.end()});
    StaleView scenario(deployment, words[2] != "0");
    scenario.prepare();
    return deployment.run([&scenario]() { scenario.begin(); });
}
