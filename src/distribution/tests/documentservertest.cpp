#include "distribution/documentserver.h"
#include "distribution/httpdocumentsource.h"
#include "distribution/tests/feedfleet.h"
#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
const std::string kHead(store::kConfigurationKey);
const std::string kOldKey(64, '1');
const std::string kNewKey(64, '2');

//! Hands calls straight to a server and may alter what passes.
class DirectClient : public net::IHttpClient
{
public:
    explicit DirectClient(const DocumentServer &server) : server(server) { }

    CallId send(net::HttpCall call, Handler handler) override
    {
        const auto mark = call.url.find('?');
        net::HttpRequest request{.method = call.method,
                                 .path = DocumentServer::kPath,
                                 .query = call.url.substr(mark),
                                 .headers = call.headers};
        net::HttpResult result;
        result.answer = this->server.answer(request);
        result.answer.body += this->appended;
        handler(result);
        return 1;
    }
    void cancel(CallId) override { }

    const DocumentServer &server;
    std::string appended;
};

struct AccessRow
{
    bool hasWrongKey;
    bool isAltered;
    bool accepted;
};
}

ParameterizedTestParameters(documentserver, access)
{
    static AccessRow rows[] = {{false, false, true}, {true, false, false}, {false, true, false}};
    return cr_make_param_array(AccessRow, rows, sizeof rows / sizeof *rows);
}

ParameterizedTest(AccessRow *row, documentserver, access)
{
    FeedFleet fleet(1);
    fleet.store.put(kHead, "one");
    fleet.run(1s);
    const DocumentServer server(fleet.at(0).feed, {kOldKey});
    DirectClient client(server);
    client.appended = row->isAltered ? "x" : "";
    SeededRandom random(1);
    HttpDocumentSource source(client, random, {row->hasWrongKey ? kNewKey : kOldKey});
    std::optional<DocumentBatch> got;
    Reason why;
    source.pull({}, 0, 0, [&](const auto &batch, const Reason &reason) {
        got = batch;
        why = reason;
    });
    cr_assert_eq(got.has_value(), row->accepted);
    cr_assert(row->accepted || why.code == ResultCode::MessageUnauthenticated);
    if (row->accepted) {
        cr_assert_eq(got->documents.size(), 1);
        cr_assert(got->documents.front().value == "one");
        cr_assert_eq(got->upTo, fleet.at(0).feed.revision());
        cr_assert(got->vmList.has_value());
    }
}
