#include "global/manualclock.h"
#include "net/asioeventloop.h"
#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "radishbench/bounds.h"
#include "radishbench/configurationwatch.h"
#include "radishbench/deployment.h"
#include "radishbench/faultparser.h"
#include "radishbench/scenario.h"
#include "radishbench/types/measures.h"
#include "radishbench/types/runtraits.h"
#include "standins/flowcaller.h"
#include "standins/packetbuilder.h"
#include "standins/warmup.h"
#include "standins/wire.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstring>

using namespace radishladder;
using namespace radishladder::radishbench;
using namespace std::chrono_literals;

namespace {
struct BadFaultRow
{
    char text[64];
    char place[16];
};

struct TimeRow
{
    char text[16];
    long milliseconds;
};

FaultParser kozmuParser()
{
    return {*makeDeployment("kozmu", {}), 20s};
}

//! A flow caller without sockets; packets it sends are kept.
struct CallerFixture
{
    net::AsioEventLoop loop;
    std::vector<std::vector<std::uint8_t>> sent;
    standins::FlowCaller caller{{0x7f000001}, this->loop, [this](auto packet) {
                                    this->sent.emplace_back(packet.begin(), packet.end());
                                }};

    void answer(const standins::TcpFlags &flags, const std::string &upstream)
    {
        const flows::FlowKey key = standins::packetKey(this->sent.back());
        const auto payload = standins::encodeFlowAnswer(standins::tcpPayload(this->sent.back()),
                                                        UpstreamName(upstream));
        this->caller.receive(
            standins::buildTcpPacket({key.service, key.caller, key.protocol}, flags, payload),
            std::chrono::steady_clock::now());
    }

    void open()
    {
        this->caller.open({0x7f000002, 443}, 60s, 100ms);
        this->answer({.syn = true, .ack = true}, "portal-1");
        this->caller.tick(std::chrono::steady_clock::now() + 1s);
    }
};

class SilentClient : public net::IHttpClient
{
public:
    CallId send(net::HttpCall /*call*/, Handler /*handler*/) override { return 0; }
    void cancel(CallId /*id*/) override { }
};

const Bound *find(const std::vector<Bound> &bounds, const std::string &name)
{
    const auto found = std::ranges::find(bounds, name, &Bound::name);
    return found == bounds.end() ? nullptr : &*found;
}
}

ParameterizedTestParameters(radishbench, bad_fault_names_its_place)
{
    static BadFaultRow rows[] = {
        {"vm-kil@3s:vm-1", "kind"},
        {"vm-kill", "time"},
        {"vm-kill@3:vm-1", "time"},
        {"vm-kill@-3s:vm-1", "time"},
        {"vm-kill@30s:vm-1", "time"},
        {"vm-kill@3s", "target"},
        {"vm-kill@3s:vm-9", "target"},
        {"vm-kill@3s:vm-1/3s", "length"},
        {"vm-pause@3s:vm-1", "length"},
        {"vm-pause@3s:vm-1/x", "length"},
        {"partition@3s:obuda/3s", "target"},
        {"partition@3s:obuda|obuda/3s", "target"},
        {"partition@3s:obuda|kobanya", "length"},
        {"upstream-drain@3s:portal-15", "target"},
        {"dc-out@3s:pest", "target"},
        {"packet-loss@3s:5", "target"},
        {"packet-loss@3s:101%", "target"},
        {"store-down@3s:soon", "target"},
        {"config-change@3s:x", "target"},
    };
    return cr_make_param_array(BadFaultRow, rows, std::size(rows));
}

ParameterizedTest(BadFaultRow *row, radishbench, bad_fault_names_its_place)
{
    FaultParser parser = kozmuParser();
    cr_assert(!parser.parse(row->text), "%s", row->text);
    const std::string detail = parser.lastReason().detail;
    const std::string expected = std::string("fault '") + row->text + "': " + row->place + ": ";
    cr_assert(detail.starts_with(expected), "%s", detail.c_str());
}

Test(radishbench, whole_fault_is_read)
{
    FaultParser parser = kozmuParser();
    const auto fault = parser.parse("partition@25%:obuda|kobanya/1500ms");
    cr_assert(fault);
    cr_assert(fault->kind == FaultKind::Partition);
    cr_assert(fault->at == 5s);
    cr_assert(fault->target == "obuda" && fault->otherTarget == "kobanya");
    cr_assert(fault->length == std::chrono::milliseconds(1500));
    const auto loss = parser.parse("packet-loss@0s:5%/3s");
    cr_assert(loss && loss->share > 0.0499 && loss->share < 0.0501);
}

ParameterizedTestParameters(radishbench, times_are_read)
{
    static TimeRow rows[] = {{"3s", 3000}, {"250ms", 250}, {"25%", 5000}, {"1.5s", 1500},
                             {"s", -1},    {"3 s", -1},    {"", -1},      {"-1s", -1},
                             {"1e3", -1},  {"nans", -1},   {"infs", -1}};
    return cr_make_param_array(TimeRow, rows, std::size(rows));
}

ParameterizedTest(TimeRow *row, radishbench, times_are_read)
{
    const auto time = parseTime(row->text, 20s);
    cr_assert_eq(time ? time->count() : -1, row->milliseconds, "%s", row->text);
}

Test(radishbench, faults_of_every_scenario_are_valid)
{
    for (const Scenario &scenario : scenarios()) {
        for (const char *name : {"kozmu", "lexikonsedel"}) {
            const auto deployment = makeDeployment(name, {});
            FaultParser parser(*deployment, scenario.duration);
            const auto texts =
                scenario.faults ? scenario.faults(*deployment) : std::vector<std::string>();
            for (const std::string &text : texts) {
                cr_assert(parser.parse(text), "%s: %s", scenario.name.c_str(),
                          parser.lastReason().detail.c_str());
            }
        }
    }
}

Test(radishbench, bounds_follow_the_faults)
{
    Measures measures;
    measures.flows = 2000;
    measures.brokenFlows = 2;
    cr_assert(!find(judge(measures, {.isSteady = true}), "broken_flows")->holds);
    cr_assert(!find(judge(measures, {.vmKills = 1}), "broken_flows")->holds);
    cr_assert(find(judge(measures, {.vmKills = 1, .upstreamLeaves = true}), "broken_flows")->holds);
    measures.brokenFlows = 3;
    cr_assert(
        !find(judge(measures, {.vmKills = 1, .upstreamLeaves = true}), "broken_flows")->holds);
    measures.brokenWithUpstream = 3;
    cr_assert(
        find(judge(measures, {.upstreamKilled = true}), "broken_flows_without_killed_upstreams")
            ->holds);
}

Test(radishbench, refused_reservations_are_no_service)
{
    Measures measures;
    measures.answeredRatio = 1;
    measures.answeredRatioNonIdempotent = 0.5;
    cr_assert(!find(judge(measures, {.isSteady = true}), "answered_ratio_non_idempotent")->holds);
}

Test(radishbench, measure_that_does_not_apply_has_no_bound)
{
    const std::vector<Bound> bounds = judge({}, {});
    for (const char *name : {"seconds_to_last_packet", "seconds_to_config", "config_reverted",
                             "cold_overload", "control_bytes_per_vm_s", "vms_restarted"}) {
        cr_assert_null(find(bounds, name), "%s", name);
    }
    Measures late;
    late.secondsToLastPacket = 3.1;
    cr_assert(!find(judge(late, {.dataCentreOut = true}), "seconds_to_last_packet")->holds);
}

Test(radishbench, reset_breaks_an_open_flow)
{
    CallerFixture fixture;
    fixture.open();
    fixture.answer({.rst = true}, "");
    cr_assert_eq(fixture.caller.counts().losses.size(), 1);
    cr_assert(fixture.caller.counts().losses[0].cause == standins::FlowCaller::Cause::Reset);
    cr_assert(fixture.caller.counts().losses[0].upstream == "portal-1");
}

Test(radishbench, answer_from_another_upstream_breaks_a_flow)
{
    CallerFixture fixture;
    fixture.open();
    fixture.answer({.ack = true}, "portal-2");
    cr_assert_eq(fixture.caller.counts().losses.size(), 1);
    cr_assert(fixture.caller.counts().losses[0].cause
              == standins::FlowCaller::Cause::OtherUpstream);
}

Test(radishbench, answers_of_the_own_upstream_break_nothing)
{
    CallerFixture fixture;
    fixture.open();
    fixture.answer({.ack = true}, "portal-1");
    fixture.answer({.ack = true}, "portal-1");
    cr_assert_eq(fixture.caller.counts().answeredPackets, 1);
    cr_assert(fixture.caller.counts().losses.empty());
    cr_assert_eq(fixture.caller.running(), 1);
}

Test(radishbench, ten_seconds_without_progress_break_a_flow)
{
    CallerFixture fixture;
    fixture.open();
    const auto start = std::chrono::steady_clock::now() + 1s;
    for (auto time = 0ms; time < 9900ms; time += 100ms) {
        fixture.caller.tick(start + time);
    }
    cr_assert(fixture.caller.counts().losses.empty());
    for (auto time = 9900ms; time < 13000ms; time += 100ms) {
        fixture.caller.tick(start + time);
    }
    cr_assert_eq(fixture.caller.counts().losses.size(), 1);
    cr_assert(fixture.caller.counts().losses[0].cause == standins::FlowCaller::Cause::NoProgress);
}

Test(radishbench, cold_host_bears_one_request_and_twenty_flows_a_second)
{
    standins::WarmUp warmUp;
    cr_assert_eq(warmUp.requestsBorne(3), 3);
    warmUp.turnCold();
    cr_assert_eq(warmUp.requestsBorne(3), 1);
    ManualClock clock;
    for (int i = 0; i < 20; ++i) {
        cr_assert(warmUp.takeFlow(clock.now()));
    }
    cr_assert(!warmUp.takeFlow(clock.now()));
    clock.advance(1s);
    cr_assert(warmUp.takeFlow(clock.now()));
    for (int i = 0; i < 100; ++i) {
        warmUp.proveAnswer();
    }
    cr_assert(warmUp.isWarm());
}

Test(radishbench, configuration_that_goes_back_is_counted)
{
    SilentClient client;
    ManualClock clock;
    ConfigurationWatch watch(client, {{}, {}});
    watch.accepted(2, clock.now());
    clock.advance(2s);
    watch.report(0, 2, clock.now());
    clock.advance(1s);
    watch.report(1, 2, clock.now());
    cr_assert_float_eq(*watch.secondsToConfig(clock.now()), 3, 0.001);
    watch.restarted(1, clock.now());
    watch.report(1, 1, clock.now());
    cr_assert_eq(watch.reverted(), 1);
    watch.report(0, 1, clock.now());
    cr_assert_eq(watch.reverted(), 2);
}
