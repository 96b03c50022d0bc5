// Case: a host is full while the operator moves its route to another service.

#include "deployment.h"

#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {
using namespace radishladder::review;
using Duration = EventLoop::Duration;
using TimePoint = EventLoop::Clock::time_point;

constexpr const char *kZone = "zone-a";
constexpr std::size_t kVms = 2;
constexpr std::size_t kClients = 40;
constexpr std::size_t kNewHosts = 2;
constexpr std::size_t kMaxFlows = 2000;

//! Long flows that clients open on the old service, 200 a second until the limit.
constexpr std::size_t kHeldPerStep = 5;
constexpr Duration kHoldStep{25};
constexpr std::size_t kHeldWithoutTrouble = 400;
constexpr std::size_t kHeldWithTrouble = 3000;
constexpr Duration kPause{4000};

//! New flows of the moved route: 83 a second.
constexpr Duration kOpenInterval{12};

constexpr Duration kMoveAt{14000};
constexpr Duration kFirstCloseAfter{250};
constexpr Duration kCloseInterval{50};
constexpr std::size_t kClosedAtOnce = 4;
constexpr Duration kEndAfter{2500};

//! Bound downgrade_slack_ms.
constexpr Duration kSlack{250};

constexpr std::uint16_t kBoard = 0;
constexpr std::uint16_t kBooking = 1;

class OldService
{
public:
    OldService(Deployment &deployment, bool hasTrouble)
        : deployment(deployment), hasTrouble(hasTrouble)
    { }

    void prepare();
    void begin();

private:
    struct Syn
    {
        TimePoint sentAt;
        std::size_t vm = 0;
    };

    void configure(int version, const std::string &bookingService);
    void hold();
    void openBookings();
    void closeHeld();
    void onOpened(const Host &host, const Opening &opening);
    Client &nextClient();
    bool isOld(const Host &host) const;

    Deployment &deployment;
    bool hasTrouble;
    bool hasMoved = false;
    bool isEnding = false;
    std::size_t held = 0;
    std::size_t clientIndex = 0;
    std::map<std::pair<FlowKey, std::uint32_t>, Syn> syns;

    //! When a host first saw the effect of the new configuration, by VM.
    std::map<std::size_t, TimePoint> effectSeenAt;
    std::size_t regressions = 0;
};

bool OldService::isOld(const Host &host) const
{
    return host.hostSettings().service == "portal";
}

Client &OldService::nextClient()
{
    auto &clients = this->deployment.allClients();
    return *clients[this->clientIndex++ % clients.size()];
}

void OldService::configure(int version, const std::string &bookingService)
{
    this->deployment.configure(version,
                               {{.name = "r-board",
                                 .address = this->deployment.routeAddress(kBoard),
                                 .service = "portal",
                                 .priority = 2},
                                {.name = "r-booking",
                                 .address = this->deployment.routeAddress(kBooking),
                                 .type = "unsafe",
                                 .service = bookingService,
                                 .priority = 1,
                                 .targetLatencyMs = 250}},
                               {{.name = "portal", .maxConnections = kMaxFlows},
                                {.name = "booking", .maxConnections = kMaxFlows}});
}

void OldService::prepare()
{
    this->deployment.addVms(kZone, kVms);
    this->deployment.addClients(kZone, kClients);
    for (std::size_t i = 0; i <= kNewHosts; ++i) {
        Host &host = this->deployment.addHost({.service = i == 0 ? "portal" : "booking",
                                               .zone = kZone,
                                               .maxFlows = kMaxFlows,
                                               .workTime = Duration(2)});
        host.onOpened = [this, &host](const Opening &opening) { this->onOpened(host, opening); };
        host.onRun = [this, &host](const FlowKey &flow, const std::string &id) {
            if (flow.second == this->deployment.routeAddress(kBooking)) {
                this->deployment.record("service " + host.hostSettings().service + " runs " + id);
            }
        };
        host.start(false);
    }
    this->configure(7, "portal");
    for (const auto &client : this->deployment.allClients()) {
        client->onSyn = [this](const FlowKey &flow, std::uint32_t copy, std::size_t vm) {
            this->syns[{flow, copy}] = {EventLoop::now(), vm};
        };
    }
}

void OldService::begin()
{
    EventLoop &loop = this->deployment.eventLoop();
    this->hold();
    loop.after(kMoveAt - Duration(2000), [this]() { this->openBookings(); });
    loop.after(kMoveAt, [this, &loop]() {
        const std::size_t flows = this->deployment.allHosts().front()->flowCount();
        this->deployment.record("the host of portal holds " + std::to_string(flows) + " flows of "
                                + std::to_string(kMaxFlows));
        this->hasMoved = true;
        this->configure(9, "booking");
        loop.after(kFirstCloseAfter, [this]() { this->closeHeld(); });
        loop.after(kEndAfter, [this]() {
            this->isEnding = true;
            const std::string summary =
                "flows of the moved route that the old service took too late: "
                + std::to_string(this->regressions);
            this->deployment.record(summary);
            std::cout << summary << '\n';
            this->deployment.finish(this->regressions > 0);
        });
    });
}

void OldService::hold()
{
    const std::size_t limit = this->hasTrouble ? kHeldWithTrouble : kHeldWithoutTrouble;
    for (std::size_t i = 0; i < kHeldPerStep && this->held < limit; ++i) {
        ++this->held;
        this->nextClient().open(
            {.route = this->deployment.routeAddress(kBoard), .requests = 100, .pause = kPause});
    }
    const bool isFull = this->deployment.allHosts().front()->flowCount() >= kMaxFlows;
    if (this->held < limit && !isFull) {
        this->deployment.eventLoop().after(kHoldStep, [this]() { this->hold(); });
    }
}

void OldService::openBookings()
{
    if (this->isEnding) {
        return;
    }
    this->nextClient().open({.route = this->deployment.routeAddress(kBooking)});
    this->deployment.eventLoop().after(kOpenInterval, [this]() { this->openBookings(); });
}

void OldService::closeHeld()
{
    for (std::size_t i = 0; i < kClosedAtOnce; ++i) {
        this->nextClient().closeFlows(1);
    }
    this->deployment.eventLoop().after(kCloseInterval, [this]() { this->closeHeld(); });
}

void OldService::onOpened(const Host &host, const Opening &opening)
{
    const auto syn = this->syns.find({opening.flow, opening.copy});
    const bool isBooking = opening.flow.second == this->deployment.routeAddress(kBooking);
    if (!isBooking || !this->hasMoved || syn == this->syns.end()) {
        return;
    }
    const std::size_t vm = syn->second.vm;
    if (!this->isOld(host)) {
        this->effectSeenAt.try_emplace(vm, opening.arrivedAt);
        return;
    }
    const auto seen = this->effectSeenAt.find(vm);
    if (seen == this->effectSeenAt.end() || syn->second.sentAt <= seen->second + kSlack) {
        return;
    }
    ++this->regressions;
    const auto late =
        std::chrono::duration_cast<Duration>(syn->second.sentAt - seen->second).count();
    this->deployment.record(
        "old service took a flow of the moved route through edge-" + std::to_string(vm + 1)
        + "; its opening packet, copy " + std::to_string(opening.copy) + " of the SYN, was sent "
        + std::to_string(late) + " ms after a host saw the effect of configuration 9");
}
}

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() < 4) {
        std::cerr << "oldservice RECORD FOLDER TROUBLE COMMAND...\n";
        return 2;
    }
    Deployment deployment(words[0], words[1], {words.begin() + 3, words.end()});
    OldService scenario(deployment, words[2] != "0");
    scenario.prepare();
    return deployment.run([&scenario]() { scenario.begin(); });
}
