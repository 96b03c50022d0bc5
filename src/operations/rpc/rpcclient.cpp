#include "operations/rpc/rpcclient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace radishladder {
namespace operations {
RpcClient::RpcClient(const std::string &url, const std::string &token,
                     std::chrono::milliseconds timeout)
    : url(url), token(token), timeout(timeout)
{ }

bool RpcClient::call(const std::string &method, const Json::Value &parameters, Json::Value &result,
                     std::string &error) const
{
    try {
        jsonrpc::HttpClient connector(this->url);
        connector.SetTimeout(static_cast<long>(this->timeout.count()));
        if (!this->token.empty()) {
            connector.AddHeader("Authorization", "Bearer " + this->token);
        }
        jsonrpc::Client client(connector);
        result = client.CallMethod(method, parameters);
        return true;
    } catch (const jsonrpc::JsonRpcException &failure) {
        error = failure.what();
        return false;
    }
}
}
}
