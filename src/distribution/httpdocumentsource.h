#pragma once

#include "distribution/idocumentsource.h"

#include <memory>
#include <string>
#include <vector>

namespace radishladder {
class IRandom;
}
namespace radishladder::net {
class IHttpClient;
}

namespace radishladder::distribution {
class PeerDigest;

//! Fetches documents over HTTP from the admin address of another VM.
class HttpDocumentSource : public IDocumentSource
{
public:
    HttpDocumentSource(net::IHttpClient &client, IRandom &random,
                       const std::vector<std::string> &peerKeys);
    ~HttpDocumentSource() override;

    void pull(const membership::Member &from, std::int64_t since, std::int64_t vmListRevision,
              Handler handler) override;

private:
    net::IHttpClient &client;
    IRandom &random;
    std::shared_ptr<const PeerDigest> digest;
};
}
