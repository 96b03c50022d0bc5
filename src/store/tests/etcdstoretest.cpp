#include "store/etcdstore.h"
#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "store/base64.h"
#include "store/types/storedvalue.h"

#include <criterion/parameterized.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::store;

namespace {
//! Answers by hand.
class FakeClient : public net::IHttpClient
{
public:
    CallId send(net::HttpCall call, Handler handler) override
    {
        this->calls.push_back(std::move(call));
        this->handlers.push_back(std::move(handler));
        return this->calls.size();
    }
    void cancel(CallId id) override { this->cancelled.push_back(id); }

    std::vector<net::HttpCall> calls;
    std::vector<Handler> handlers;
    std::vector<CallId> cancelled;
};

const std::vector<net::Endpoint> kGateways{{0x7f330001, 2379}, {0x7f330002, 2379}};

std::string eventLine(const std::string &key, int revision)
{
    return R"({"result":{"events":[{"kv":{"key":")" + encodeBase64(key)
        + R"(","value":"eA==","mod_revision":")" + std::to_string(revision) + "\"}}]}}\n";
}
}

struct OutcomeCase
{
    ResultCode transport;
    bool anythingSent;
    int status;
    char body[64];
    ResultCode write;
    ResultCode read;
};

ParameterizedTestParameters(etcdstore, outcomes)
{
    static OutcomeCase cases[] = {
        {ResultCode::StoreUnreachable, false, 0, "", ResultCode::StoreUnreachable,
         ResultCode::StoreUnreachable},
        {ResultCode::StoreTimeout, false, 0, "", ResultCode::StoreUnreachable,
         ResultCode::StoreUnreachable},
        {ResultCode::StoreTimeout, true, 0, "", ResultCode::StoreTimeout, ResultCode::StoreTimeout},
        {ResultCode::StoreAnswerLost, true, 0, "", ResultCode::StoreAnswerLost,
         ResultCode::StoreUnreachable},
        {ResultCode::Ok, true, 503, "", ResultCode::StoreAnswerLost,
         ResultCode::StoreAnswerInvalid},
        {ResultCode::Ok, true, 200, "{\"succ", ResultCode::StoreAnswerLost,
         ResultCode::StoreAnswerInvalid},
        {ResultCode::Ok, true, 200, "{\"error\":\"timed out\"}", ResultCode::StoreAnswerLost,
         ResultCode::StoreAnswerInvalid},
        {ResultCode::Ok, true, 200, "{\"succeeded\":false}", ResultCode::StoreConflict,
         ResultCode::StoreKeyMissing},
    };
    return cr_make_param_array(OutcomeCase, cases, sizeof(cases) / sizeof(OutcomeCase));
}

ParameterizedTest(OutcomeCase *row, etcdstore, outcomes)
{
    FakeClient client;
    EtcdStore store(client, {kGateways[0]});
    std::vector<ResultCode> codes;
    store.compareAndSwap("k", 0, "v", std::nullopt,
                         [&](auto, const Reason &reason) { codes.push_back(reason.code); });
    store.get("k", [&](auto, auto, const Reason &reason) { codes.push_back(reason.code); });
    cr_assert(client.calls[0].freshConnection && !client.calls[1].freshConnection);
    for (const auto &handler : client.handlers) {
        handler({.reason = {row->transport, ""},
                 .answer = {.status = row->status, .body = row->body},
                 .anythingSent = row->anythingSent});
    }
    cr_assert(codes == (std::vector{row->write, row->read}));
}

Test(etcdstore, a_write_that_may_have_arrived_is_not_sent_to_another_gateway)
{
    FakeClient client;
    EtcdStore store(client, kGateways);
    ResultCode code = ResultCode::Ok;
    store.compareAndSwap("k", 0, "v", std::nullopt,
                         [&](auto, const Reason &reason) { code = reason.code; });
    client.handlers[0]({.reason = {ResultCode::StoreAnswerLost, ""}, .anythingSent = true});
    cr_assert_eq(client.calls.size(), 1);
    cr_assert(code == ResultCode::StoreAnswerLost);
    store.get("k", [](auto, auto, const Reason &) {});
    cr_assert(client.calls[1].url.starts_with("http://127.51.0.2:"));
}

Test(etcdstore, watch_lines_may_be_split_anywhere)
{
    cr_assert(rc::check([](const std::vector<std::uint8_t> &lengths) {
        FakeClient client;
        EtcdStore store(client, kGateways);
        std::vector<std::int64_t> revisions;
        store.watch("/a", 1, [&](const auto &events, const Reason &) {
            for (const StoredValue &event : events) {
                revisions.push_back(event.revision);
            }
        });
        std::string stream = R"({"result":{"created":true}})"
                             "\n";
        for (int i = 5; i < 9; ++i) {
            stream += eventLine("/a/1", i);
        }
        for (const std::uint8_t length : lengths) {
            client.calls[0].onData(stream.substr(0, length));
            stream.erase(0, length);
        }
        client.calls[0].onData(stream);
        RC_ASSERT(revisions == (std::vector<std::int64_t>{5, 6, 7, 8}));
    }));
}

struct WatchEndCase
{
    char line[96];
    ResultCode code;
};

ParameterizedTestParameters(etcdstore, watch_ends_once)
{
    static WatchEndCase cases[] = {
        {"{\"result\":{\"canceled\":true,\"compact_revision\":\"9\"}}",
         ResultCode::StoreWatchCompacted},
        {"{\"result\":{\"canceled\":true}}", ResultCode::StoreUnreachable},
        {"{\"error\":{\"code\":14}}", ResultCode::StoreAnswerInvalid},
        {"garbage", ResultCode::StoreAnswerInvalid},
        {"", ResultCode::StoreUnreachable},
    };
    return cr_make_param_array(WatchEndCase, cases, sizeof(cases) / sizeof(WatchEndCase));
}

ParameterizedTest(WatchEndCase *row, etcdstore, watch_ends_once)
{
    FakeClient client;
    EtcdStore store(client, kGateways);
    std::vector<ResultCode> ends;
    store.watch("/a", 1, [&](const auto &, const Reason &reason) { ends.push_back(reason.code); });
    client.calls[0].onData(row->line);
    // The last line may lack its line break.
    client.handlers[0]({.reason = {}, .answer = {.status = 200}, .anythingSent = true});
    cr_assert(ends == std::vector{row->code});
}

Test(etcdstore, a_cancelled_watch_reports_nothing_more)
{
    FakeClient client;
    EtcdStore store(client, kGateways);
    int reports = 0;
    const auto id = store.watch("/a", 1, [&](const auto &, const Reason &) { ++reports; });
    store.cancelWatch(id);
    client.calls[0].onData(eventLine("/a/1", 5));
    cr_assert_eq(reports, 0);
    cr_assert_eq(client.cancelled.size(), 1);
}
