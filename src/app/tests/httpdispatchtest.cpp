#include "app/httpdispatch.h"

#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::app;

namespace {
HttpDispatch::Handler respondingWith(const char *body)
{
    return [body](const net::HttpRequest &, const net::IHttpServer::Responder &respond) {
        respond({.body = body});
    };
}
}

Test(httpdispatch, services_that_share_an_address_receive_the_requests_for_their_own_paths)
{
    const auto isChanges = [](const std::string &path) { return path == "/changes"; };
    const auto isPage = [](const std::string &path) { return path == "/metrics"; };
    const auto isAny = [](const std::string &) { return true; };
    struct Row
    {
        const char *path;
        bool hasProbe;
        int status;
        const char *body;
    };
    const Row rows[] = {
        {"/changes", true, 200, "relay"},
        {"/metrics", true, 200, "pages"},
        {"/ready", true, 200, "probe"},
        {"/metrics", false, 200, "pages"},
        {"/ready", false, 404, R"({"error":"no such page"})"},
    };
    for (const Row &row : rows) {
        HttpDispatch dispatch;
        dispatch.add(isChanges, respondingWith("relay"));
        dispatch.add(isPage, respondingWith("pages"));
        if (row.hasProbe) {
            dispatch.add(isAny, respondingWith("probe"));
        }
        net::HttpResponse received;
        dispatch.handle({.path = row.path},
                        [&received](const net::HttpResponse &response) { received = response; });
        cr_assert_eq(received.status, row.status, "%s", row.path);
        cr_assert(received.body == row.body, "%s", row.path);
    }
}
