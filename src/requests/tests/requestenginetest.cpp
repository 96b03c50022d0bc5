#include "requests/tests/fakes.h"

#include "requests/types/requestoptions.h"

#include <criterion/parameterized.h>

using namespace radishladder;
using namespace radishladder::requests;
using namespace std::chrono_literals;

namespace {
//! One VM alone that has run long enough to know all keys.
class Lone
{
public:
    Lone()
    {
        this->source.accept(portalConfiguration());
        this->vm.membership.list = {{.name = VmName("vm-1")}};
        this->vm.upstreams.holding = {VmName("vm-1")};
        this->run(40s);
    }

    void run(std::chrono::milliseconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 100ms) {
            this->clock.advance(100ms);
            this->vm.engine.tick(this->clock.now());
        }
    }

    std::shared_ptr<FakeResponder> handle(net::HttpRequest request)
    {
        return this->vm.handle(std::move(request));
    }

    ManualClock clock;
    settings::ConfigurationHolder source;
    std::deque<FakeTransport::Datagram> wire;
    TestVm vm{VmName("vm-1"), source, clock, wire};
};

net::HttpResult lost(ResultCode code, bool anythingSent)
{
    return {.reason = {code, "lost"}, .anythingSent = anythingSent};
}
}

Test(requestengine, whole_answer_is_passed_on)
{
    Lone lone;
    const auto responder = lone.handle(lookup());
    lone.vm.client.answerFirst("found", {{"Content-Length", "5"}});
    cr_assert_eq(responder->code(), 500);
    cr_assert_eq(responder->answers.front().body, "found");
    cr_assert_eq(lone.vm.counted(ResultCode::RequestAnswered), 1);
    cr_assert_eq(lone.vm.engine.running(), 0);
}

struct AttemptCase
{
    char method[8];
    ResultCode reason;
    bool anythingSent;
    bool refuses;
    char id[16];
    char length[8];
    int calls;
    ResultCode outcome;
};

ParameterizedTestParameters(requestengine, attempt_leads_to_its_outcome)
{
    using enum ResultCode;
    static AttemptCase cases[] = {
        {"POST", StoreTimeout, true, false, "", "", 1, RequestOutcomeUnknown},
        {"POST", StoreAnswerLost, true, false, "", "", 1, RequestOutcomeUnknown},
        {"POST", StoreUnreachable, false, false, "", "", 1, RequestNotRun},
        {"POST", Ok, true, true, "own", "", 1, RequestNotRun},
        {"POST", Ok, true, false, "another", "", 1, RequestOutcomeUnknown},
        {"POST", Ok, true, true, "another", "", 1, RequestOutcomeUnknown},
        {"POST", Ok, true, false, "", "", 1, RequestOutcomeUnknown},
        {"POST", Ok, true, false, "own", "9", 1, RequestOutcomeUnknown},
        {"POST", Ok, true, false, "own", "4", 1, RequestAnswered},
        {"GET", StoreTimeout, true, false, "", "", 3, RequestFailed},
        {"GET", StoreUnreachable, false, false, "", "", 3, RequestNotRun},
        {"GET", Ok, true, true, "own", "", 3, RequestNotRun},
        {"GET", Ok, true, false, "another", "", 3, RequestFailed},
        {"GET", Ok, true, false, "own", "9", 3, RequestFailed},
        {"HEAD", Ok, true, false, "own", "9", 1, RequestAnswered},
    };
    return cr_make_param_array(AttemptCase, cases, sizeof(cases) / sizeof(AttemptCase));
}

ParameterizedTest(AttemptCase *row, requestengine, attempt_leads_to_its_outcome)
{
    Lone lone;
    net::HttpRequest request = booking("k1");
    request.method = row->method;
    const auto responder = lone.handle(std::move(request));
    while (!lone.vm.client.calls.empty()) {
        const net::HttpCall &call = lone.vm.client.calls.begin()->second.call;
        net::HttpResult result = lost(row->reason, row->anythingSent);
        result.answer = {.status = row->refuses ? 503 : 200, .body = "body"};
        const std::string id = row->id;
        if (!id.empty()) {
            result.answer.headers.emplace(
                kRequestIdHeader,
                id == "own" ? net::headerValue(call.headers, kRequestIdHeader) : id);
        }
        if (row->refuses) {
            result.answer.headers.emplace(kUpstreamRefusalHeader, "not-run");
        }
        if (row->length[0] != '\0') {
            result.answer.headers.emplace("Content-Length", row->length);
        }
        lone.vm.client.finishFirst(result);
    }
    lone.run(11s);
    cr_assert_eq(responder->answers.size(), 1);
    cr_assert_eq(responder->code(), static_cast<int>(row->outcome), "%d %s", responder->code(),
                 responder->answers.front().body.c_str());
    cr_assert_eq(lone.vm.client.sentCount, row->calls, "%d", lone.vm.client.sentCount);
}

struct BadCase
{
    char method[8];
    char header[24];
    char value[24];
    int bodyBytes;
    ResultCode code;
};

ParameterizedTestParameters(requestengine, bad_input_is_refused_and_not_sent_on)
{
    using enum ResultCode;
    static BadCase cases[] = {
        {"POST", "Idempotency-Key", "", 4, RequestKeyMissing},
        {"PATCH", "Idempotency-Key", "", 4, RequestKeyMissing},
        {"POST", "Idempotency-Key", "a, b", 4, RequestHeaderInvalid},
        {"GET", "Host", "unheard-of", 0, RequestUnknownService},
        {"GET", "Content-Length", "3", 4, RequestMalformed},
        {"GET", "Content-Length", "4, 4", 4, RequestHeaderInvalid},
        {"GET", "X-Note", "a\r\nX-Evil: 1", 0, RequestHeaderInvalid},
        {"GET", "X-Deadline-Ms", "soon", 0, RequestHeaderInvalid},
        {"GET", "X-Deadline-Ms", "-1", 0, RequestHeaderInvalid},
        {"GET", "X-Deadline-Ms", "0", 0, RequestDeadlinePassed},
        {"BREW", "X-Note", "a", 0, RequestMalformed},
        {"PUT", "X-Note", "a", 1001, RequestTooLarge},
    };
    return cr_make_param_array(BadCase, cases, sizeof(cases) / sizeof(BadCase));
}

ParameterizedTest(BadCase *row, requestengine, bad_input_is_refused_and_not_sent_on)
{
    Lone lone;
    net::HttpRequest request = booking("k1");
    request.method = row->method;
    request.headers[row->header] = row->value;
    request.body = std::string(static_cast<std::size_t>(row->bodyBytes), 'b');
    const auto responder = lone.handle(std::move(request));
    cr_assert_eq(responder->code(), static_cast<int>(row->code), "%d", responder->code());
    cr_assert_eq(lone.vm.client.sentCount, 0);
    cr_assert_eq(lone.vm.counted(row->code), 1);
}

Test(requestengine, retries_stay_within_a_tenth_of_the_requests)
{
    Lone lone;
    for (int i = 0; i < 200; ++i) {
        lone.handle(lookup());
        while (!lone.vm.client.calls.empty()) {
            lone.vm.client.finishFirst(lost(ResultCode::StoreAnswerLost, true));
        }
    }
    cr_assert_leq(lone.vm.client.sentCount, 200 + 20 + 3);
    cr_assert_gt(lone.vm.client.sentCount, 200);
}

Test(requestengine, deadline_shrinks_and_bounds_the_attempt)
{
    Lone lone;
    net::HttpRequest request = lookup();
    request.headers["X-Deadline-Ms"] = "400";
    lone.handle(std::move(request));
    const net::HttpCall &call = lone.vm.client.calls.begin()->second.call;
    const std::chrono::milliseconds left = 400ms - RequestOptions().hopAllowance;
    cr_assert_lt(left.count(), 400);
    cr_assert_eq(call.timeout, left);
    cr_assert_eq(net::headerValue(call.headers, kDeadlineHeader), std::to_string(left.count()));
}

Test(requestengine, caller_gone_cancels_the_attempt)
{
    Lone lone;
    const auto responder = lone.handle(lookup());
    responder->callerGone = true;
    lone.run(100ms);
    cr_assert_eq(lone.vm.client.cancelledCount, 1);
    cr_assert_eq(lone.vm.upstreams.seen.back(), upstreams::Observation::Cancelled);
    cr_assert_eq(lone.vm.counted(ResultCode::RequestCancelled), 1);
}

Test(requestengine, planned_stop_cuts_no_request)
{
    Lone lone;
    const auto running = lone.handle(lookup());
    lone.vm.engine.stopAccepting();
    const auto refused = lone.handle(lookup());
    cr_assert_eq(refused->code(), static_cast<int>(ResultCode::RequestStopping));
    cr_assert_eq(lone.vm.engine.running(), 1);
    lone.vm.client.answerFirst("found");
    cr_assert_eq(running->code(), 500);
    cr_assert_eq(lone.vm.engine.running(), 0);
}

Test(requestengine, full_upstreams_queue_by_priority_and_refuse_the_lowest)
{
    Lone lone;
    lone.vm.upstreams.slots = 0;
    settings::Configuration configuration = portalConfiguration();
    configuration.generation = 2;
    configuration.services.push_back(configuration.services.front());
    configuration.services.back().name = ServiceName("bulk");
    configuration.services.back().priority = 1;
    lone.source.accept(configuration);
    net::HttpRequest bulk = lookup();
    bulk.headers["Host"] = "bulk";
    std::vector<std::shared_ptr<FakeResponder>> bulks;
    bulks.reserve(512);
    for (int i = 0; i < 512; ++i) {
        bulks.push_back(lone.handle(bulk));
    }
    const auto first = lone.handle(lookup());
    cr_assert_eq(first->code(), 0);
    cr_assert_eq(lone.vm.counted(ResultCode::RequestOverload), 1);
    lone.vm.upstreams.slots = 1;
    lone.run(100ms);
    cr_assert_eq(lone.vm.client.sentCount, 3);
    lone.vm.client.answerFirst("found");
    cr_assert_eq(first->code(), 500);
    lone.run(11s);
    cr_assert_eq(bulks.back()->answers.size(), 1);
}

Test(requestengine, vm_without_slots_hands_the_request_to_a_holder_once)
{
    Lone lone;
    lone.vm.upstreams.slots = 0;
    lone.vm.upstreams.holding = {VmName("vm-2")};
    lone.vm.membership.list.push_back({.name = VmName("vm-2"), .requests = {0x7f000009, 8080}});
    const auto responder = lone.handle(lookup());
    const net::HttpCall &call = lone.vm.client.calls.begin()->second.call;
    cr_assert(call.url.starts_with("http://127.0.0.9:8080/"));
    cr_assert(call.headers.contains(kHopHeader));
    lone.vm.client.answerFirst("found", {{std::string(kResultHeader), "500"}});
    cr_assert_eq(responder->code(), 500);
    net::HttpRequest handedOver = lookup();
    handedOver.headers[std::string(kHopHeader)] = "1";
    lone.handle(std::move(handedOver));
    cr_assert(lone.vm.client.calls.empty());
}

Test(requestengine, caller_cannot_claim_a_key_for_itself)
{
    Lone lone;
    for (int i = 0; i < 2; ++i) {
        net::HttpRequest request = booking("k");
        request.headers[std::string(kHopHeader)] = kClaimedHop;
        request.from = {0x0a000001, 999};
        lone.handle(std::move(request));
    }
    cr_assert_eq(lone.vm.client.sentCount, 1);
}
