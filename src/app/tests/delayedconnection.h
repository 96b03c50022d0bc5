#pragma once

#include "net/ieventloop.h"
#include "net/ihttpconnection.h"
#include "net/ihttpserver.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "net/types/httpresult.h"

#include <chrono>
#include <functional>
#include <memory>

namespace radishladder::app {

//! A connection to a server in the same process, with a delay in each direction. The handlers of a
//! closed connection are not called.
class DelayedConnection : public net::IHttpConnection
{
public:
    using Server =
        std::function<void(const net::HttpRequest &, const net::IHttpServer::Responder &)>;

    DelayedConnection(net::IEventLoop &loop, std::chrono::milliseconds delay, Server server)
        : loop(loop), delay(delay), server(std::move(server))
    { }

    void send(const net::HttpRequest &request, Handler handler) override
    {
        const auto finish = [handler = std::make_shared<Handler>(std::move(handler)),
                             guard =
                                 std::weak_ptr<int>(this->open)](const net::HttpResult &result) {
            if (*handler && !guard.expired()) {
                const Handler once = std::move(*handler);
                *handler = nullptr;
                once(result);
            }
        };
        this->loop.after(request.timeout, [finish]() { finish({}); });
        this->loop.after(
            this->delay, [this, request, finish, guard = std::weak_ptr<int>(this->open)]() {
                if (!guard.expired()) {
                    this->server(request,
                                 [&loop = this->loop, delay = this->delay,
                                  finish](const net::HttpResponse &response) {
                                     loop.after(delay, [finish, response]() {
                                         finish({.status = response.status, .body = response.body});
                                     });
                                 });
                }
            });
    }

private:
    net::IEventLoop &loop;
    std::chrono::milliseconds delay;
    Server server;
    std::shared_ptr<int> open = std::make_shared<int>(0);
};
}
