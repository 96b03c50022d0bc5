#include "operations/vmquery.h"

#include "net/libeventhttpconnection.h"
#include "net/libeventloop.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

#include <memory>

namespace radishladder::operations {
std::vector<VmResponse> VmQuery::queryAll(const std::vector<net::Endpoint> &vms,
                                          const std::string &path, const std::string &query) const
{
    net::LibeventLoop loop;
    std::vector<VmResponse> responses;
    responses.reserve(vms.size());
    for (const net::Endpoint &vm : vms) {
        responses.push_back({.vm = vm});
    }
    std::vector<std::unique_ptr<net::LibeventHttpConnection>> connections;
    std::size_t pending = vms.size();
    for (VmResponse &response : responses) {
        connections.push_back(std::make_unique<net::LibeventHttpConnection>(loop, response.vm));
        connections.back()->send({.path = path, .query = query, .timeout = this->timeout},
                                 [&loop, &response, &pending](const net::HttpResult &result) {
                                     response.status = result.status;
                                     response.body = result.body;
                                     if (--pending == 0) {
                                         loop.stop();
                                     }
                                 });
    }
    if (pending > 0) {
        loop.run();
    }
    return responses;
}
}
