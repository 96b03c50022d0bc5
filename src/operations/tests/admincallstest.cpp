#include "operations/admincalls.h"
#include "global/manualclock.h"
#include "net/asioeventloop.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "operations/adminserver.h"
#include "operations/callcodec.h"
#include "operations/iexplainer.h"
#include "operations/istatusprovider.h"
#include "operations/rpc/rpcclient.h"
#include "operations/types/explanation.h"
#include "operations/types/vmstatus.h"
#include "settings/jsonfile.h"
#include "telemetry/prometheusmetrics.h"
#include "telemetry/timeline.h"

#include <criterion/parameterized.h>
#include <thread>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::operations;

namespace {
struct FakeStatus : IStatusProvider
{
    VmStatus status() const override
    {
        return {.vm = VmName("vm-1"), .dataCentre = DataCentreName("obuda"), .generation = 3};
    }
};

struct FakeExplainer : IExplainer
{
    std::optional<Explanation> explain(const ExplainQuestion &question) override
    {
        if (question.service != ServiceName("portal")) {
            return std::nullopt;
        }
        return Explanation{UpstreamName("h1"), VmName("vm-2"), "its table says so"};
    }
    Reason lastReason() const override { return {ResultCode::UnknownService, "no such service"}; }
};

struct Fixture
{
    explicit Fixture(bool openReads = true) : calls({"secret", openReads}, status, line, explainer)
    { }

    Json::Value rpc(const std::string &body)
    {
        Reason reason;
        const auto answer = this->calls.answer({.method = "POST", .path = "/rpc", .body = body});
        return settings::parseJson(answer.body, "answer", reason).value_or(Json::Value());
    }

    ManualClock clock;
    telemetry::TimeLine line{this->clock, VmName("vm-1"), DataCentreName("obuda")};
    FakeStatus status;
    FakeExplainer explainer;
    AdminCalls calls;
};
}

struct AccessCase
{
    CallKind kind;
    bool openReads;
    char authorization[24];
    bool allowed;
};

ParameterizedTestParameters(access, table)
{
    static AccessCase cases[] = {
        {CallKind::Read, true, "", true},
        {CallKind::Read, false, "", false},
        {CallKind::Read, false, "Bearer secret", true},
        {CallKind::Change, true, "", false},
        {CallKind::Change, true, "Bearer wrong", false},
        {CallKind::Change, true, "Bearer secre", false},
        {CallKind::Change, true, "Bearer secret ", false},
        {CallKind::Change, true, "secret", false},
        {CallKind::Change, true, "Bearer secret", true},
    };
    return cr_make_param_array(AccessCase, cases, sizeof(cases) / sizeof(AccessCase));
}

ParameterizedTest(AccessCase *row, access, table)
{
    const AccessPolicy policy("secret", row->openReads);
    cr_assert_eq(policy.allows(row->kind, row->authorization), row->allowed);
}

Test(access, an_empty_token_allows_no_change)
{
    cr_assert(!AccessPolicy("", true).allows(CallKind::Change, "Bearer "));
}

Test(admincalls, status_is_plain_json_and_a_method)
{
    Fixture f;
    Reason reason;
    const auto answer = f.calls.answer({.method = "GET", .path = "/status"});
    const auto status = readStatus(*settings::parseJson(answer.body, "", reason), reason);
    cr_assert(status == f.status.status());
    const Json::Value json = f.rpc(R"({"jsonrpc":"2.0","id":1,"method":"status"})");
    cr_assert(readStatus(json["result"], reason) == f.status.status(), "%s",
              settings::jsonText(json).c_str());
}

Test(admincalls, timeline_and_explain)
{
    Fixture f;
    f.line.record({.kind = "vm.started"});
    const Json::Value events = f.rpc(R"({"jsonrpc":"2.0","id":1,"method":"timeline"})");
    cr_assert_eq(events["result"].size(), 1);
    Reason reason;
    cr_assert(readEvent(events["result"][0], reason)->kind == "vm.started");
    const Json::Value known = f.rpc(R"({"jsonrpc":"2.0","id":1,"method":"explain",)"
                                    R"("params":{"service":"portal","key":"k"}})");
    cr_assert(readExplanation(known["result"], reason)->upstream == UpstreamName("h1"));
    const Json::Value unknown = f.rpc(R"({"jsonrpc":"2.0","id":1,"method":"explain",)"
                                      R"("params":{"service":"other","key":"k"}})");
    cr_assert_eq(unknown["result"]["error"]["code"].asInt(), 110);
}

Test(admincalls, wrong_calls_are_refused)
{
    Fixture f(false);
    cr_assert_eq(f.calls.answer({.method = "GET", .path = "/status"}).status, 403);
    cr_assert_eq(f.calls.answer({.method = "GET", .path = "/nothing"}).status, 404);
    Fixture open;
    cr_assert(open.rpc("garbage").isMember("error"));
    cr_assert(open.rpc(R"({"jsonrpc":"2.0","id":1,"method":"drop"})").isMember("error"));
}

Test(admincalls, one_port_serves_health_and_calls)
{
    Fixture f(false);
    const net::Endpoint local{0x7f330000 | (static_cast<std::uint32_t>(getpid()) & 0xffff), 7090};
    net::AsioEventLoop loop;
    telemetry::PrometheusMetrics metrics;
    AdminServer server(local, metrics, [] { return true; });
    server.serveCalls(f.calls, loop);
    cr_assert(server.start());
    std::thread runner([&loop] { loop.run(); });
    const std::string url = "http://" + net::endpointText(local) + "/rpc";
    Json::Value result;
    std::string error;
    const Json::Value nothing(Json::objectValue);
    const bool denied =
        RpcClient(url, "", std::chrono::seconds(5)).call("status", nothing, result, error);
    const bool allowed =
        RpcClient(url, "secret", std::chrono::seconds(5)).call("status", nothing, result, error);
    loop.stop();
    runner.join();
    server.stop();
    cr_assert(!denied);
    cr_assert(allowed, "%s", error.c_str());
    cr_assert_eq(result["generation"].asInt(), 3);
}
