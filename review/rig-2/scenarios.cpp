#include "scenarios.h"

#include "clienthost.h"
#include "testbed.h"
#include "upstreamhost.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

namespace review {
namespace {
using namespace radishladder;
using platform::WirePacket;

constexpr double kNoWarmupRate = 0;

//! Work of `nyelv-foglalas` in the site file: mean, spread and maximum, in milliseconds.
constexpr double kMeanWorkMs = 52;
constexpr double kWorkSpread = 0.5;
constexpr double kMaxWorkMs = 310;

constexpr milliseconds kHeartbeat{1200};

//! Bounds of a small deployment.
constexpr milliseconds kFlowTimeout{2000};
constexpr int kMinForeignPackets = 3;

//! Returns the work of request \a number, log-normally distributed; the same in each run.
milliseconds workOf(int number)
{
    std::mt19937 random(static_cast<std::uint32_t>(number));
    std::lognormal_distribution<double> work(std::log(kMeanWorkMs) - kWorkSpread * kWorkSpread / 2,
                                             kWorkSpread);
    return milliseconds(static_cast<int>(std::min(work(random), kMaxWorkMs)));
}

Host *findHolder(Rig &rig, const flows::FlowKey &key)
{
    const auto found =
        std::ranges::find_if(rig.hosts, [&key](const auto &host) { return host->holdsOpen(key); });
    return found == rig.hosts.end() ? nullptr : found->get();
}

//! Checks rule FLOW (a): a reset of the system's own on a flow that a living host holds open.
void checkResets(Rig &rig, Client &client)
{
    client.onSystemReset = [&rig](const Client::Session &session) {
        const Host *host = findHolder(rig, session.key);
        if (session.isOpen && host != nullptr) {
            rig.recordViolation(absl::StrCat(
                "FLOW (a): the client at port ", session.key.client.port,
                " gets a reset of the system on an open flow; its host ", host->name(), " lives",
                session.isWaiting ? " and has the request, whose answer is lost" : ""));
        }
    };
}

//! Checks rule FLOW (b): for the flow time-out three or more packets of an open flow reach other
//! hosts, and none its own.
class FlowCheck
{
public:
    explicit FlowCheck(Rig &rig) : rig(rig) { }

    void onPacket(const Host &at, const WirePacket &packet)
    {
        const flows::FlowKey key{packet.source, packet.target};
        const Host *holder = findHolder(this->rig, key);
        if (packet.isSyn || holder == nullptr) {
            return;
        }
        if (holder == &at) {
            this->foreign.erase(key.client.port);
            return;
        }
        Foreign &packets = this->foreign[key.client.port];
        const auto now = Clock::now();
        if (packets.count == 0) {
            packets.since = now;
        }
        ++packets.count;
        this->rig.record.write(absl::StrCat("packet of the flow from port ", key.client.port,
                                            ", which is open at ", holder->name(), ", reaches ",
                                            at.name()));
        if (packets.count >= kMinForeignPackets && now - packets.since >= kFlowTimeout
            && !packets.isRecorded) {
            packets.isRecorded = true;
            this->rig.recordViolation(
                absl::StrCat("FLOW (b): ", packets.count, " packets of the flow from port ",
                             key.client.port, " reach another host, none its own"));
        }
    }

private:
    struct Foreign
    {
        int count = 0;
        Clock::time_point since;
        bool isRecorded = false;
    };

    Rig &rig;
    std::map<std::uint16_t, Foreign> foreign;
};

//! Checks rule FAILBACK: counts the flows that were sent to a cold host and arrived there within
//! one second.
class WarmupCheck
{
public:
    WarmupCheck(Rig &rig, const Client &client, std::size_t limit)
        : rig(rig), client(client), limit(limit)
    { }

    void onPacket(const Host &at, const WirePacket &packet)
    {
        const auto now = Clock::now();
        const Client::Session *session = this->client.find(packet.source.port);
        const bool isCounted = packet.isSyn && now < at.coldUntil && session != nullptr
            && this->seen.insert({at.id, packet.source.port}).second;
        if (!isCounted) {
            return;
        }
        auto &arrivals = this->arrivals[at.name()];
        arrivals.push_back(session->openedAt);
        const auto count = static_cast<std::size_t>(
            std::ranges::count_if(arrivals, [now](Clock::time_point sentAt) {
                return now - sentAt <= std::chrono::seconds(1);
            }));
        std::size_t &most = this->most[at.name()];
        most = std::max(most, count);
        if (count == this->limit + 1) {
            this->rig.recordViolation(absl::StrCat("FAILBACK: the cold host ", at.name(), " gets ",
                                                   count, " flows in one second, allowed are ",
                                                   this->limit));
        }
    }

    void writeCounts()
    {
        for (const auto &[host, count] : this->most) {
            this->rig.record.write(
                absl::StrCat("most flows in one second at the cold host ", host, ": ", count));
        }
    }

private:
    Rig &rig;
    const Client &client;
    std::size_t limit;
    std::set<std::pair<std::uint64_t, std::uint16_t>> seen;
    std::map<std::string, std::vector<Clock::time_point>> arrivals;
    std::map<std::string, std::size_t> most;
};
}

bool runOddEntry(Rig &rig, bool hasTrouble)
{
    constexpr int kFlowsPerSecond = 166;
    constexpr int kWrites = 6;
    constexpr milliseconds kBetweenWrites{3000};
    constexpr milliseconds kDuration{22000};
    rig.publishConfiguration({{"reservations", "unsafe"}}, kNoWarmupRate);
    for (const char *zone : {"a", "b"}) {
        rig.addVm(zone);
        rig.addVm(zone);
        for (int i = 0; i < 3; ++i) {
            rig.addHost(zone, "reservations").workTime = workOf;
        }
    }
    Client client(rig, "a", rig.address(3, 1));
    Client otherClient(rig, "b", rig.address(3, 2));
    checkResets(rig, client);
    checkResets(rig, otherClient);
    if (!client.start() || !otherClient.start()) {
        return false;
    }
    const auto writeOddEntry = [&rig](int number) {
        Host &host = *rig.hosts[static_cast<std::size_t>(number) % 3];
        rig.record.write("another writer replaces the entry of " + host.name()
                         + " by one with a state that the pages do not name");
        rig.put(host.entryKey(),
                absl::StrCat(R"({"service":"reservations","address":")",
                             net::endpointText(host.address),
                             R"(","zone":"a","version":"v2","concurrency":3,)",
                             R"("state":"standby","warmup_left_ms":0,"sequence":1})"));
        rig.loop.after(kHeartbeat, [&rig, &host]() {
            rig.record.write(host.name() + " writes its entry again with its heartbeat");
            host.publish();
        });
    };
    const bool isRun = rig.run(milliseconds(2000), kDuration, [&]() {
        client.keepOpening(rig.serviceEndpoint(0), kFlowsPerSecond);
        otherClient.keepOpening(rig.serviceEndpoint(0), kFlowsPerSecond);
        for (int i = 0; hasTrouble && i < kWrites; ++i) {
            rig.loop.after(kBetweenWrites * (i + 1), [&writeOddEntry, i]() { writeOddEntry(i); });
        }
    });
    rig.record.write(absl::StrCat(client.opened, " flows opened, ", client.answered,
                                  " requests answered, ", client.unanswered, " not"));
    return isRun && client.answered > 0;
}

bool runPlannedRestart(Rig &rig, bool hasTrouble)
{
    constexpr int kBackgroundPerSecond = 20;
    constexpr std::uint16_t kFirstPort = 40000;
    constexpr std::size_t kFlows = 8;
    constexpr milliseconds kBeforeStop{2000};
    constexpr milliseconds kBeforeSecondMiss{400};
    constexpr milliseconds kDuration{22000};
    rig.publishConfiguration({{"boards", "safe"}}, kNoWarmupRate);
    for (const char *zone : {"a", "a", "a", "b"}) {
        rig.addVm(zone);
    }
    for (const char *zone : {"a", "a", "a", "a", "b", "b"}) {
        rig.addHost(zone, "boards");
    }
    Client client(rig, "a", rig.address(3, 1));
    checkResets(rig, client);
    FlowCheck check(rig);
    std::set<std::uint16_t> losesSynAck;
    for (const auto &host : rig.hosts) {
        host->onPacket = [&check](const Host &at, const WirePacket &packet, std::uint32_t) {
            check.onPacket(at, packet);
        };
        host->isLost = [&rig, &losesSynAck](const Host &from, const WirePacket &packet) {
            const bool isDropped = packet.isSyn && losesSynAck.erase(packet.target.port) > 0;
            if (isDropped) {
                rig.record.write(absl::StrCat("the first SYN+ACK of ", from.name(), " to port ",
                                              packet.target.port, " is lost"));
            }
            return isDropped;
        };
    }
    if (!client.start()) {
        return false;
    }
    Vm &stopped = *rig.vms.front();
    const auto openFlows = [&]() {
        std::uint16_t port = kFirstPort;
        for (std::size_t i = 0; i < kFlows; ++port) {
            if (rig.selectVm(client.keyOf(rig.serviceEndpoint(0), port), "a") != &stopped) {
                continue;
            }
            ++i;
            if (hasTrouble) {
                losesSynAck.insert(port);
            }
            client.open(rig.serviceEndpoint(0), {.requests = 4, .pause = milliseconds(3500)}, port);
        }
    };
    bool areOpened = false;
    const bool isRun = rig.run(milliseconds(1000), kDuration, [&]() {
        client.keepOpening(rig.serviceEndpoint(0), kBackgroundPerSecond);
        if (!hasTrouble) {
            rig.loop.after(kBeforeStop, openFlows);
            return;
        }
        rig.loop.after(kBeforeStop, [&]() { rig.terminate(stopped); });
        rig.loop.every(milliseconds(5), [&]() {
            // The flows open shortly before the routers take the VM out of the rotation.
            if (!areOpened && stopped.missedProbes == 1) {
                areOpened = true;
                rig.loop.after(kBeforeSecondMiss, openFlows);
            }
        });
    });
    rig.record.write(absl::StrCat(client.opened, " flows opened, ", client.answered,
                                  " requests answered, ", client.unanswered, " not"));
    return isRun && client.answered > 0;
}

bool runColdReturn(Rig &rig, bool hasTrouble)
{
    constexpr int kFlowsPerSecond = 60;
    constexpr double kWarmupPerSecond = 4;
    constexpr std::size_t kMaxPerSecond = 11;
    constexpr milliseconds kSettleTime{9000};
    constexpr milliseconds kBeforeEvacuation{2000};
    constexpr milliseconds kEvacuation{8000};
    constexpr milliseconds kBetweenStarts{50};
    constexpr milliseconds kCold{2000};
    constexpr milliseconds kDuration{16000};
    const std::string evacuationKey = "op/evacuate/a";
    rig.publishConfiguration({{"reservations", "unsafe"}}, kWarmupPerSecond);
    for (const char *zone : {"a", "b"}) {
        for (int i = 0; i < 2; ++i) {
            rig.addVm(zone);
        }
        for (int i = 0; i < 3; ++i) {
            rig.addHost(zone, "reservations");
        }
    }
    Client client(rig, "a", rig.address(3, 1));
    WarmupCheck check(rig, client, kMaxPerSecond);
    for (const auto &host : rig.hosts) {
        host->onPacket = [&check](const Host &at, const WirePacket &packet, std::uint32_t) {
            check.onPacket(at, packet);
        };
    }
    if (!client.start()) {
        return false;
    }
    const bool isRun = rig.run(kSettleTime, kDuration, [&]() {
        client.keepOpening(rig.serviceEndpoint(0), kFlowsPerSecond);
        if (!hasTrouble) {
            return;
        }
        rig.loop.after(kBeforeEvacuation, [&]() {
            rig.record.write("the operator evacuates zone a");
            rig.put(evacuationKey, "{}");
        });
        rig.loop.after(kBeforeEvacuation + kEvacuation, [&]() {
            rig.record.write("the operator takes zone a back");
            rig.remove(evacuationKey);
        });
        // The hosts are cold when the evacuation ends; the last one has just started.
        for (int i = 0; i < 3; ++i) {
            rig.loop.after(kBeforeEvacuation + kEvacuation - kBetweenStarts * i, [&, i]() {
                Host &host = *rig.hosts[static_cast<std::size_t>(i)];
                host.crash();
                host.start(kCold);
                rig.record.write(host.name()
                                 + " starts again under its identifier, is cold, and "
                                   "has written its entry");
            });
        }
    });
    check.writeCounts();
    rig.record.write(absl::StrCat(client.opened, " flows opened, ", client.answered,
                                  " requests answered, ", client.unanswered, " not"));
    return isRun && client.answered > 0;
}

namespace {
//! Checks rule DRAIN for flows: a host takes the first packet of a flow later than the bound after
//! the store accepted that it drains, through a VM in touch.
class DrainCheck
{
public:
    explicit DrainCheck(Rig &rig) : rig(rig) { }

    void onPacket(const Host &at, const WirePacket &packet, std::uint32_t vmAddress)
    {
        const bool isFirst = packet.isSyn && this->seen.insert({at.id, packet.source.port}).second;
        const Vm *vm = this->rig.findVm(vmAddress);
        const auto now = Clock::now();
        if (!isFirst || !at.isDraining || vm == nullptr || vm->isCut
            || now - vm->cutUntil < kContact) {
            return;
        }
        const auto late = std::chrono::duration_cast<milliseconds>(now - at.drainingSince);
        if (late > kDrainBound) {
            this->rig.recordViolation(absl::StrCat(
                "DRAIN: ", at.name(), " gets the flow from port ", packet.source.port, " through ",
                vm->name, " ", late.count(), " ms after the store accepted that ", "it drains"));
        }
    }

private:
    static constexpr milliseconds kContact{4000};

    //! The bound and the time of the store's answer.
    static constexpr milliseconds kDrainBound{3000 + 10};

    Rig &rig;
    std::set<std::pair<std::uint64_t, std::uint16_t>> seen;
};

//! Replaces hosts one after the other, and partitions a relay from the store during each step.
class ReleaseWithCuts
{
public:
    ReleaseWithCuts(Rig &rig, bool hasTrouble) : rig(rig), hasTrouble(hasTrouble) { }

    void begin()
    {
        this->rig.readRelayFollowers();
        this->rig.loop.after(milliseconds(500), [this]() { this->chooseRelay(); });
    }

private:
    static constexpr int kSteps = 4;
    static constexpr milliseconds kBetweenSteps{11000};
    static constexpr milliseconds kRenewInterval{2000};
    static constexpr milliseconds kStepBeforeRenewal{1050};
    static constexpr milliseconds kNewHostFirst{200};
    static constexpr milliseconds kCold{2000};
    static constexpr milliseconds kCut{5500};

    void chooseRelay()
    {
        const auto relay = std::ranges::max_element(
            this->rig.vms, {}, [](const auto &vm) { return vm->relayFollowers; });
        this->rig.record.write((*relay)->name + " relays the store to others");
        this->rig.onStoreAnswer = [this, &vm = **relay](const Vm &answered,
                                                        const std::string &path) {
            if (&answered == &vm && path.starts_with("/radishladder/kv-keep/")) {
                this->onRenewal(vm);
            }
        };
    }

    void onRenewal(Vm &relay)
    {
        const auto now = Clock::now();
        if (this->isStepping) {
            this->isStepping = false;
            if (this->hasTrouble) {
                this->rig.cutFromStore(relay, kCut);
            }
        } else if (this->steps < kSteps && now >= this->nextStep) {
            this->nextStep = now + kBetweenSteps;
            this->isStepping = true;
            this->rig.loop.after(kRenewInterval - kStepBeforeRenewal, [this]() { this->step(); });
        }
    }

    void step()
    {
        Host &old = *this->rig.hosts[static_cast<std::size_t>(this->steps)];
        ++this->steps;
        Host &added = this->rig.addHost(old.zone, old.service);
        added.onPacket = old.onPacket;
        added.workTime = old.workTime;
        added.start(kCold);
        this->rig.record.write(added.name() + " starts in place of " + old.name());
        this->rig.loop.after(kNewHostFirst, [this, &old]() {
            old.drain();
            this->rig.record.write(old.name() + " drains");
        });
    }

    Rig &rig;
    bool hasTrouble;
    int steps = 0;
    bool isStepping = false;
    Clock::time_point nextStep;
};
}

bool runDrainBehindRelay(Rig &rig, bool hasTrouble)
{
    constexpr int kFlowsPerSecond = 200;
    constexpr int kVms = 6;
    constexpr int kHosts = 10;
    constexpr milliseconds kSettleTime{9000};
    constexpr milliseconds kDuration{52000};
    rig.publishConfiguration({{"reservations", "unsafe"}}, kNoWarmupRate);
    for (int i = 0; i < kVms; ++i) {
        rig.addVm("a");
    }
    DrainCheck check(rig);
    for (int i = 0; i < kHosts; ++i) {
        Host &host = rig.addHost("a", "reservations");
        host.onPacket = [&check](const Host &at, const WirePacket &packet, std::uint32_t vm) {
            check.onPacket(at, packet, vm);
        };
    }
    Client client(rig, "a", rig.address(3, 1));
    if (!client.start()) {
        return false;
    }
    ReleaseWithCuts release(rig, hasTrouble);
    const bool isRun = rig.run(kSettleTime, kDuration, [&]() {
        client.keepOpening(rig.serviceEndpoint(0), kFlowsPerSecond);
        release.begin();
    });
    rig.record.write(absl::StrCat(client.opened, " flows opened, ", client.answered,
                                  " requests answered, ", client.unanswered, " not"));
    return isRun && client.answered > 0;
}
}
