#include "net/meteredconnection.h"

#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "net/types/trafficmeter.h"

namespace radishladder::net {
MeteredConnection::MeteredConnection(std::unique_ptr<IHttpConnection> connection,
                                     TrafficMeter &meter)
    : connection(std::move(connection)), meter(meter)
{ }

void MeteredConnection::send(const HttpRequest &request, Handler handler)
{
    this->meter.sentBytes += request.path.size() + request.query.size() + request.body.size();
    this->connection->send(
        request, [&meter = this->meter, handler = std::move(handler)](const HttpResult &result) {
            meter.receivedBytes += result.body.size();
            handler(result);
        });
}
}
