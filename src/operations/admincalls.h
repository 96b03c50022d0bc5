#pragma once

#include "operations/accesspolicy.h"

#include <memory>

namespace radishladder::net {
struct HttpAnswer;
struct HttpRequest;
}
namespace radishladder::telemetry {
class ITimeLine;
}

namespace radishladder::operations {
class IExplainer;
class IStatusProvider;
class RpcConnector;

//! Operators' calls to one VM: GET /status and JSON-RPC 2.0 at POST /rpc with the methods status,
//! timeline and explain. Runs on the event loop.
class AdminCalls
{
public:
    AdminCalls(AccessPolicy access, const IStatusProvider &status,
               const telemetry::ITimeLine &timeLine, IExplainer &explainer);
    ~AdminCalls();

    net::HttpAnswer answer(const net::HttpRequest &request);

private:
    class RpcServer;

    AccessPolicy access;
    const IStatusProvider &status;
    std::unique_ptr<RpcConnector> connector;
    std::unique_ptr<RpcServer> rpc;
};
}
