#include "app/httpdispatch.h"

#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"

namespace radishladder::app {
void HttpDispatch::add(Filter accepts, Handler handler)
{
    this->services.push_back({std::move(accepts), std::move(handler)});
}

void HttpDispatch::handle(const net::HttpRequest &request,
                          const net::IHttpServer::Responder &respond) const
{
    for (const Service &service : this->services) {
        if (service.accepts(request.path)) {
            service.handler(request, respond);
            return;
        }
    }
    respond({.status = 404, .body = R"({"error":"no such page"})"});
}
}
