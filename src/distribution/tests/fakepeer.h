#pragma once

#include "distribution/relayserver.h"
#include "net/ieventloop.h"
#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "net/types/httpresult.h"

#include <memory>

namespace radishladder::distribution {

//! A connection to the relay server of another VM in the same process. A paused VM does not
//! respond, and the handlers of a closed connection are not called.
class FakePeer : public net::IHttpConnection
{
public:
    FakePeer(net::IEventLoop &loop, RelayServer &server, const bool &isPaused)
        : loop(loop), server(server), isPaused(isPaused)
    { }

    void send(const net::HttpRequest &request, Handler handler) override
    {
        const auto pending = std::make_shared<Handler>(std::move(handler));
        const auto finish =
            [pending, guard = std::weak_ptr<int>(this->open)](const net::HttpResult &result) {
                if (*pending && !guard.expired()) {
                    const Handler once = std::move(*pending);
                    *pending = nullptr;
                    once(result);
                }
            };
        this->loop.after(request.timeout, [finish]() { finish({}); });
        if (this->isPaused) {
            return;
        }
        this->server.handle(
            request,
            [&loop = this->loop, &paused = this->isPaused,
             finish](const net::HttpResponse &response) {
                loop.after(std::chrono::milliseconds(1), [&paused, finish, response]() {
                    if (!paused) {
                        finish({.status = response.status, .body = response.body});
                    }
                });
            });
    }

private:
    net::IEventLoop &loop;
    RelayServer &server;
    const bool &isPaused;
    std::shared_ptr<int> open = std::make_shared<int>(0);
};
}
