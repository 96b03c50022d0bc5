#include "net/asioeventloop.h"
#include "net/curlhttpclient.h"
#include "net/ihttpresponder.h"
#include "net/pistachehttpserver.h"
#include "net/types/httpanswer.h"
#include "net/types/httpcall.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "requests/internal/attemptoutcome.h"
#include "requests/requestheaders.h"

#include <criterion/criterion.h>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::requests;
using namespace std::chrono_literals;

namespace {
//! Each test runs in a process of its own; an address of its own lets test programs run side by
//! side.
net::Endpoint ownEndpoint()
{
    return {0x7f400000U | (static_cast<std::uint32_t>(getpid()) & 0x3fffffU), 18473};
}

net::HttpCall callWithId(const net::Endpoint &server, const std::string &id)
{
    return {.url = "http://" + net::endpointText(server) + "/" + id,
            .headers = {{std::string(kRequestIdHeader), id}}};
}

net::HttpAnswer answerTo(const net::HttpRequest &request)
{
    const std::string id = net::headerValue(request.headers, kRequestIdHeader);
    return {.headers = {{std::string(kRequestIdHeader), id}}, .body = "answer to " + id};
}
}

//! The server answers the first request only once the second has arrived.
Test(lateanswer, cannot_reach_the_next_request)
{
    const net::Endpoint local = ownEndpoint();
    net::HttpRequest held;
    std::shared_ptr<net::IHttpResponder> heldResponder;
    net::PistacheHttpServer server({.local = local, .threads = 1});
    cr_assert(server.start([&](const net::HttpRequest &request,
                               const std::shared_ptr<net::IHttpResponder> &responder) {
        if (!heldResponder) {
            held = request;
            heldResponder = responder;
            return;
        }
        heldResponder->answer(answerTo(held));
        responder->answer(answerTo(request));
    }));
    net::AsioEventLoop loop;
    net::CurlHttpClient client(loop);
    net::HttpResult first;
    net::HttpResult second;
    net::HttpCall call = callWithId(local, "first");
    call.timeout = 300ms;
    client.send(std::move(call), [&](net::HttpResult result) {
        first = std::move(result);
        client.send(callWithId(local, "second"), [&](net::HttpResult next) {
            second = std::move(next);
            loop.stop();
        });
    });
    loop.run();
    cr_assert(judgeAttempt(first, "first", "GET").kind == AttemptOutcome::Kind::Unknown);
    cr_assert(judgeAttempt(second, "second", "GET").kind == AttemptOutcome::Kind::Whole);
    cr_assert(second.answer.body == "answer to second");
}
