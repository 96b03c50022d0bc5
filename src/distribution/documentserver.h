#pragma once

#include <memory>
#include <string>
#include <vector>

namespace radishladder::net {
struct HttpAnswer;
struct HttpRequest;
}

namespace radishladder::distribution {
class DocumentFeed;
class PeerDigest;

//! Answers other VMs that ask for documents; call it on the event loop.
class DocumentServer
{
public:
    static constexpr const char *kPath = "/documents";

    DocumentServer(const DocumentFeed &feed, const std::vector<std::string> &peerKeys);
    ~DocumentServer();

    //! Answer to GET /documents?since=REVISION&vms=REVISION, signed as the request has to be.
    net::HttpAnswer answer(const net::HttpRequest &request) const;

private:
    const DocumentFeed &feed;
    std::unique_ptr<PeerDigest> digest;
};
}
