#include "operations/vmquery.h"

#include "net/libeventhttpconnection.h"
#include "net/libeventloop.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

#include <memory>

namespace radishladder::operations {
std::vector<VmAnswer> VmQuery::ask(const std::vector<net::Endpoint> &vms, const std::string &path,
                                   const std::string &query) const
{
    net::LibeventLoop loop;
    std::vector<VmAnswer> answers;
    answers.reserve(vms.size());
    for (const net::Endpoint &vm : vms) {
        answers.push_back({.vm = vm});
    }
    std::vector<std::unique_ptr<net::LibeventHttpConnection>> connections;
    std::size_t waiting = vms.size();
    for (VmAnswer &answer : answers) {
        connections.push_back(std::make_unique<net::LibeventHttpConnection>(loop, answer.vm));
        connections.back()->send({.path = path, .query = query, .timeout = this->timeout},
                                 [&loop, &answer, &waiting](const net::HttpResult &result) {
                                     answer.status = result.status;
                                     answer.body = result.body;
                                     if (--waiting == 0) {
                                         loop.stop();
                                     }
                                 });
    }
    if (waiting > 0) {
        loop.run();
    }
    return answers;
}
}
