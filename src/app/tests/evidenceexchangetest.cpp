#include "app/evidenceexchange.h"

#include "app/peersocket.h"
#include "flows/flowtable.h"
#include "flows/types/flowrecord.h"
#include "global/manualclock.h"
#include "global/seededrandom.h"
#include "loopbackmembership.h"
#include "net/libeventloop.h"
#include "net/types/trafficmeter.h"
#include "telemetry/ieventlog.h"
#include "telemetry/prometheusmetrics.h"
#include "telemetry/types/logentry.h"
#include "upstreams/types/upstream.h"
#include "upstreams/upstreamregistry.h"

#include <criterion/criterion.h>
#include <thread>

using namespace radishladder;
using namespace radishladder::app;
using namespace std::chrono_literals;

namespace {
class KeepingLog : public telemetry::IEventLog
{
public:
    bool accepts(telemetry::LogKind) override { return true; }
    void write(const telemetry::LogEntry &entry) override { this->text += entry.fields() + "\n"; }

    std::string text;
};

//! One VM with an exchange on its loopback address.
struct ExchangeVm
{
    ExchangeVm(net::IEventLoop &loop, const IClock &clock, const char *name, std::uint16_t port)
        : socket({loop, clock, this->membership, this->log, this->traffic}, VmName(name),
                 {LoopbackMembership::addressOf(VmName(name)), port}),
          exchange({loop, clock, this->random, this->socket, this->membership, this->registry,
                    this->table, this->log, this->metrics},
                   VmName(name))
    {
        this->registry.update({.id = {7}}, clock.now());
        this->table.setSharedEvidence(&this->exchange.sharedEvidence());
        this->socket.start();
        this->socket.tick();
        this->exchange.tick();
    }

    //! Two flows on upstream 7 are silent while others get prompt responses.
    void addSilence(std::chrono::steady_clock::time_point now)
    {
        for (const std::uint16_t port : {1, 2, 3, 4, 5}) {
            const bool isSilent = port <= 2;
            flows::FlowRecord &record = *this->table.insert(
                {{9, port}, {1, 80}}, {isSilent ? 7U : 8U}, flows::FlowPhase::Open, now);
            if (isSilent) {
                this->table.recordSilence(record, now - 200ms);
            } else {
                this->table.setBusy(record, true);
                this->table.recordResponse(record, now);
            }
        }
    }

    LoopbackMembership membership;
    SeededRandom random{1};
    upstreams::UpstreamRegistry registry{60s};
    flows::FlowTable table{100};
    KeepingLog log;
    telemetry::PrometheusMetrics metrics;
    net::TrafficMeter traffic;
    PeerSocket socket;
    EvidenceExchange exchange;
};

//! Runs the loop in real time, since the sockets need some.
void runFor(net::LibeventLoop &loop, std::chrono::milliseconds time)
{
    loop.after(time, [&loop]() { loop.stop(); });
    loop.run();
}
}

Test(evidenceexchange, sends_silence_to_peers_which_drop_what_was_queued_in_a_pause)
{
    for (const bool isPaused : {false, true}) {
        net::LibeventLoop loop;
        ManualClock clock;
        const std::uint16_t port = isPaused ? 28712 : 28711;
        ExchangeVm sender(loop, clock, "vm1", port);
        ExchangeVm receiver(loop, clock, "vm2", port);
        sender.addSilence(clock.now());
        clock.advance(20ms);
        if (isPaused) {
            // The process of the receiver was suspended while the datagram arrived.
            clock.suspend(600ms);
            sender.exchange.tick();
            clock.advance(60ms);
            sender.exchange.tick();
            sender.addSilence(clock.now());
        }
        runFor(loop, 60ms);
        sender.exchange.tick();
        receiver.exchange.tick();
        const auto silence = receiver.exchange.sharedEvidence().silenceOf({7}, clock.now());
        cr_expect_eq(silence.witnesses, isPaused ? 0 : 1);
        cr_expect_eq(receiver.traffic.receivedBytes, 35U);
        cr_expect_eq(sender.traffic.sentBytes, 35U * 7);
        const bool isLogged = receiver.log.text.find("upstream.suspected") != std::string::npos;
        cr_expect_eq(isLogged, !isPaused);
        const std::string dropped = "radishladder_evidence_dropped{reason=\"queued\"} 1";
        cr_expect_eq(receiver.metrics.exposition().find(dropped) != std::string::npos, isPaused);
    }
}

Test(evidenceexchange, ages_include_the_time_in_the_queue_of_a_vm_that_stalls_shortly)
{
    // Guards against old silence that looks new, which a known response would then not refute. A
    // stall of less than 500 ms is not recognised as a pause.
    struct Row
    {
        std::chrono::milliseconds stall;
        int witnesses;
    };
    for (const Row &row : {Row{0ms, 1}, Row{200ms, 1}, Row{600ms, 0}}) {
        net::LibeventLoop sendingLoop;
        net::LibeventLoop receivingLoop;
        ManualClock clock;
        const auto port = static_cast<std::uint16_t>(28720 + row.stall.count() / 100);
        ExchangeVm sender(sendingLoop, clock, "vm1", port);
        ExchangeVm receiver(receivingLoop, clock, "vm2", port);
        sender.addSilence(clock.now());
        clock.advance(20ms);
        runFor(sendingLoop, 40ms);
        std::this_thread::sleep_for(row.stall);
        runFor(receivingLoop, 20ms);
        const auto silence = receiver.exchange.sharedEvidence().silenceOf({7}, clock.now());
        cr_assert_eq(silence.witnesses, row.witnesses, "%ld ms", row.stall.count());
        if (row.witnesses > 0) {
            cr_assert_geq((clock.now() - silence.since).count(),
                          (220ms + row.stall).count() * 1000000);
        }
    }
}

Test(evidenceexchange, a_port_in_use_does_not_stop_the_process)
{
    net::LibeventLoop loop;
    ManualClock clock;
    ExchangeVm first(loop, clock, "vm1", 28713);
    ExchangeVm second(loop, clock, "vm1", 28713);
    cr_assert(second.log.text.find("peers.failed") != std::string::npos);
    second.addSilence(clock.now());
    clock.advance(20ms);
    runFor(loop, 30ms);
    second.exchange.tick();
    cr_assert(second.table.isSuspect({7}));
    cr_assert_eq(second.traffic.sentBytes, 0U);
}
