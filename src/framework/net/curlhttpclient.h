#pragma once

#include "net/ihttpclient.h"

#include <memory>

namespace radishladder::net {
class IEventLoop;

//! HTTP client on libcurl's multi interface, with a thread of its own.
class CurlHttpClient : public IHttpClient
{
public:
    //! Sends every call that names no address of its own from \a localAddress, unless that is 0.
    explicit CurlHttpClient(IEventLoop &loop, std::uint32_t localAddress = 0);
    ~CurlHttpClient() override;

    CallId send(HttpCall call, Handler handler) override;
    void cancel(CallId id) override;

private:
    struct State;
    std::unique_ptr<State> state;
};
}
