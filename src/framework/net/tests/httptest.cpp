#include "net/asioeventloop.h"
#include "net/curlhttpclient.h"
#include "net/ihttpresponder.h"
#include "net/pistachehttpserver.h"
#include "net/types/httpanswer.h"
#include "net/types/httpcall.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

#include <criterion/criterion.h>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::net;

namespace {
constexpr std::uint32_t kLoopback = 0x7f000000;
constexpr std::uint32_t kHostBits = 0x3fffff;

//! Each test runs in a process of its own; an address of its own lets test programs run side by
//! side.
Endpoint ownEndpoint()
{
    return {kLoopback | 0x400000 | (static_cast<std::uint32_t>(getpid()) & kHostBits), 18471};
}

HttpResult exchange(const Endpoint &server, const std::string &body, std::uint32_t localAddress = 0)
{
    AsioEventLoop loop;
    CurlHttpClient client(loop, localAddress);
    HttpResult received;
    HttpCall call{.method = "POST",
                  .url = "http://" + endpointText(server) + "/echo?x=1",
                  .headers = {{"Idempotency-Key", "k1"}},
                  .body = body};
    client.send(std::move(call), [&](HttpResult result) {
        received = std::move(result);
        loop.stop();
    });
    loop.run();
    return received;
}
}

Test(http, request_and_answer_pass_whole)
{
    const Endpoint local = ownEndpoint();
    PistacheHttpServer server({.local = local});
    cr_assert(server.start([](const HttpRequest &request,
                              const std::shared_ptr<IHttpResponder> &responder) {
        responder->answer({.status = 201,
                           .headers = {{"X-Key", headerValue(request.headers, "idempotency-key")},
                                       {"X-Path", request.path + request.query}},
                           .body = request.body});
    }));
    const std::string body(3 * 1024 * 1024, 'r');
    const HttpResult result = exchange(local, body);
    cr_assert(result.reason.code == ResultCode::Ok, "%s", result.reason.detail.c_str());
    cr_assert_eq(result.answer.status, 201);
    cr_assert(result.answer.body == body);
    cr_assert_eq(headerValue(result.answer.headers, "X-Key"), std::string("k1"));
    cr_assert_eq(headerValue(result.answer.headers, "X-Path"), std::string("/echo?x=1"));
    cr_assert(result.anythingSent);
}

Test(http, refused_connection_sent_nothing)
{
    const HttpResult result = exchange(ownEndpoint(), "body");
    cr_assert(result.reason.code == ResultCode::StoreUnreachable);
    cr_assert(!result.anythingSent);
}

Test(http, call_comes_from_the_local_address)
{
    const Endpoint local = ownEndpoint();
    const std::uint32_t callerAddress = local.address ^ 0x200000;
    PistacheHttpServer server({.local = local});
    cr_assert(server.start(
        [](const HttpRequest &request, const std::shared_ptr<IHttpResponder> &responder) {
            responder->answer({.body = addressText(request.from.address)});
        }));
    const HttpResult result = exchange(local, "body", callerAddress);
    cr_assert_eq(result.answer.body, addressText(callerAddress));
}
