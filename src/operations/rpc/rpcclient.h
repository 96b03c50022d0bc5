#pragma once

#include <chrono>
#include <string>

#include <json/value.h>

namespace radishladder {
namespace operations {

//! Calls methods of one VM over JSON-RPC 2.0; blocks. Compiled as C++14, which the library's client
//! headers need.
class RpcClient
{
public:
    RpcClient(const std::string &url, const std::string &token, std::chrono::milliseconds timeout);

    //! True with \a result set, or false with \a error set.
    bool call(const std::string &method, const Json::Value &parameters, Json::Value &result,
              std::string &error) const;

private:
    std::string url;
    std::string token;
    std::chrono::milliseconds timeout;
};
}
}
