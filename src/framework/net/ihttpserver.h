#pragma once

#include "global/reason.h"

#include <functional>

namespace radishladder::net {
struct Endpoint;
struct HttpResponse;
struct HttpRequest;

//! HTTP server that runs on the event loop.
class IHttpServer
{
public:
    //! Sends the response to one request, immediately or later; calls after the first one and calls
    //! after the client has disconnected have no effect.
    using Responder = std::function<void(const HttpResponse &)>;
    using Handler = std::function<void(const HttpRequest &, const Responder &)>;

    virtual ~IHttpServer() = default;

    //! Listens at \a local and calls \a handler for each request; returns false if the address
    //! cannot be bound (see lastReason()).
    virtual bool start(const Endpoint &local, Handler handler) = 0;

    //! Closes the listening socket and all connections.
    virtual void stop() = 0;

    virtual Reason lastReason() const = 0;
};
}
