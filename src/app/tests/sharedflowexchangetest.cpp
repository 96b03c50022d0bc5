#include "app/sharedflowexchange.h"

#include "app/peersocket.h"
#include "flows/flowtable.h"
#include "flows/types/flowpacket.h"
#include "global/manualclock.h"
#include "loopbackmembership.h"
#include "net/libeventloop.h"
#include "net/types/trafficmeter.h"
#include "telemetry/ieventlog.h"
#include "telemetry/prometheusmetrics.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::app;
using namespace std::chrono_literals;

namespace {
class NoLog : public telemetry::IEventLog
{
public:
    bool accepts(telemetry::LogKind) override { return false; }
    void write(const telemetry::LogEntry &) override { }
};

constexpr flows::FlowKey kFlow{{9, 1}, {1, 80}};
constexpr flows::FlowPacket kPacket{.flow = kFlow, .sequence = 101};

//! A VM of a data centre that has the VMs vm1 to vm(members).
struct SharingVm
{
    SharingVm(net::IEventLoop &loop, const IClock &clock, const char *name, int members,
              std::uint16_t port)
        : membership(members),
          socket({loop, clock, this->membership, this->log, this->traffic}, VmName(name),
                 {LoopbackMembership::addressOf(VmName(name)), port}),
          exchange({loop, clock, this->socket, this->table, this->metrics})
    {
        this->socket.start();
        this->socket.tick();
    }

    bool knowsFlow() { return this->exchange.sharedFlows().find(kPacket) != nullptr; }

    LoopbackMembership membership;
    NoLog log;
    net::TrafficMeter traffic;
    flows::FlowTable table{100};
    telemetry::PrometheusMetrics metrics;
    PeerSocket socket;
    SharedFlowExchange exchange;
};

//! Runs the loop in real time, since the sockets need some.
void runFor(net::LibeventLoop &loop, std::chrono::milliseconds time)
{
    loop.after(time, [&loop]() { loop.stop(); });
    loop.run();
}
}

Test(sharedflowexchange, a_flow_reaches_members_and_neighbours_and_vms_that_start)
{
    // Guards against a VM that forwards by the token of the wrong upstream because what another VM
    // knows does not reach it.
    struct Row
    {
        const char *name;
        int members; //!< the receiver is vm2
        bool isNeighbour;
        bool startsLater;
        bool isReceived;
    };
    std::uint16_t port = 28740;
    for (const Row &row :
         {Row{"member", 2, false, false, true}, Row{"stranger", 1, false, false, false},
          Row{"neighbour", 1, true, false, true}, Row{"member that starts", 2, false, true, true},
          Row{"neighbour that starts", 1, true, true, true}}) {
        net::LibeventLoop loop;
        ManualClock clock;
        ++port;
        const std::vector<net::Endpoint> relays{{LoopbackMembership::addressOf(VmName("vm1")), 1},
                                                {LoopbackMembership::addressOf(VmName("vm2")), 1}};
        SharingVm sender(loop, clock, "vm1", row.members, port);
        if (row.isNeighbour && !row.startsLater) {
            sender.exchange.addNeighbours(relays);
        }
        sender.exchange.sharedFlows().announce(
            kFlow, {.upstream = {7}, .initialSequence = 100, .isOpen = true}, clock.now());
        clock.advance(20ms);
        if (row.startsLater) {
            runFor(loop, 30ms);
        }
        SharingVm receiver(loop, clock, "vm2", row.members, port);
        if (row.startsLater) {
            if (row.isNeighbour) {
                receiver.exchange.addNeighbours(relays);
            }
            receiver.exchange.requestFlows();
        }
        runFor(loop, 60ms);
        cr_expect_eq(receiver.knowsFlow(), row.isReceived, "%s", row.name);
    }
}
