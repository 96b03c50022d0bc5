#pragma once

#include "supervision/icomponent.h"

#include "net/types/endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace radishladder::net {
class IEventLoop;
class IHttpResponder;
class IHttpServer;
struct HttpAnswer;
struct HttpRequest;
}
namespace radishladder::telemetry {
class IMetrics;
}

namespace radishladder::operations {
class AdminCalls;

//! Health, readiness and metrics of one VM over HTTP.
class AdminServer : public supervision::IComponent
{
public:
    //! \a isReady tells whether this VM may be given work; it is called on server threads.
    AdminServer(const net::Endpoint &local, telemetry::IMetrics &metrics,
                std::function<bool()> isReady);
    ~AdminServer() override;

    //! Hands all other paths to \a calls on \a loop; call it before start().
    void serveCalls(AdminCalls &calls, net::IEventLoop &loop);

    //! Answers \a path by \a handler, on the loop given to serveCalls(); call it before start().
    using PathHandler = std::function<net::HttpAnswer(const net::HttpRequest &)>;
    void servePath(const std::string &path, PathHandler handler);

    std::string name() const override;
    bool start() override;
    void stop() override;
    bool isHealthy() const override;
    Reason lastReason() const override;

private:
    void handle(const net::HttpRequest &request,
                const std::shared_ptr<net::IHttpResponder> &responder) const;

    telemetry::IMetrics &metrics;
    std::function<bool()> isReady;
    AdminCalls *calls = nullptr;
    std::map<std::string, PathHandler> paths;
    net::IEventLoop *loop = nullptr;
    std::unique_ptr<net::IHttpServer> server;
};
}
