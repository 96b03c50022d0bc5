#pragma once

#include <functional>

namespace radishladder::net {
struct HttpRequest;
struct HttpResult;

//! One persistent connection to one server, with one request at a time.
class IHttpConnection
{
public:
    using Handler = std::function<void(const HttpResult &)>;

    virtual ~IHttpConnection() = default;

    //! Sends \a request; \a handler is called exactly once unless the connection is destroyed
    //! first. After a failure the next request opens a new connection. A request that still waits
    //! for its answer is given up and fails.
    virtual void send(const HttpRequest &request, Handler handler) = 0;
};
}
