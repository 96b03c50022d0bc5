#pragma once

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <string>

namespace radishladder::operations {

//! Feeds JSON-RPC requests that arrived on the admin port to the library's server.
class RpcConnector : public jsonrpc::AbstractServerConnector
{
public:
    std::string answer(const std::string &request)
    {
        std::string response;
        this->GetHandler()->HandleRequest(request, response);
        return response;
    }

    bool StartListening() override { return true; } // NOLINT(readability-identifier-naming)
    bool StopListening() override { return true; } // NOLINT(readability-identifier-naming)
    bool SendResponse(const std::string &, void *) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
};
}
