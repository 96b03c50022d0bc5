#include "net/meteredconnection.h"

#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "net/types/trafficmeter.h"

#include <criterion/criterion.h>

using namespace radishladder::net;

namespace {
class FakeConnection : public IHttpConnection
{
public:
    void send(const HttpRequest &, Handler handler) override
    {
        handler({.status = 200, .body = "12345"});
    }
};
}

Test(meteredconnection, counts_targets_and_bodies_in_both_directions)
{
    TrafficMeter meter;
    MeteredConnection connection(std::make_unique<FakeConnection>(), meter);
    int responses = 0;
    for (int i = 0; i < 3; ++i) {
        connection.send({.path = "/a", .query = "b=1", .body = "xy"},
                        [&responses](const HttpResult &) { ++responses; });
    }
    cr_assert_eq(responses, 3);
    cr_assert_eq(meter.sentBytes, 21U);
    cr_assert_eq(meter.receivedBytes, 15U);
}
