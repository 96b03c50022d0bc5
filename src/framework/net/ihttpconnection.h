#pragma once

#include <functional>

namespace radishladder::net {
struct HttpRequest;
struct HttpResult;

//! Persistent client connection to one HTTP server, with at most one pending request.
class IHttpConnection
{
public:
    using Handler = std::function<void(const HttpResult &)>;

    virtual ~IHttpConnection() = default;

    //! Sends \a request; \a handler is called exactly once unless the connection is destroyed
    //! first. Cancels a request that is still pending, whose handler is called with a failure.
    //! After a failure the next request opens a new connection.
    virtual void send(const HttpRequest &request, Handler handler) = 0;
};
}
