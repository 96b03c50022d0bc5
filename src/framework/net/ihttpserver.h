#pragma once

#include "global/reason.h"

#include <functional>

namespace radishladder::net {
struct Endpoint;
struct HttpAnswer;
struct HttpRequest;

//! Answers HTTP requests on the event loop.
class IHttpServer
{
public:
    //! Sends the answer to one request, at once or later; only the first call has an effect.
    using Responder = std::function<void(const HttpAnswer &)>;
    using Handler = std::function<void(const HttpRequest &, const Responder &)>;

    virtual ~IHttpServer() = default;

    //! Serves \a handler at \a local; false if the address cannot be bound (see lastReason()).
    virtual bool start(const Endpoint &local, Handler handler) = 0;

    //! Closes the listening socket.
    virtual void stop() = 0;

    virtual Reason lastReason() const = 0;
};
}
