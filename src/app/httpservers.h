#pragma once

#include "app/httpdispatch.h"
#include "net/types/endpoint.h"

#include <map>
#include <memory>
#include <string>

namespace radishladder::net {
class LibeventLoop;
}
namespace radishladder::supervision {
class Supervisor;
}

namespace radishladder::app {
class HttpComponent;

//! The HTTP servers of a VM: one for each address, whatever number of services share it. The
//! platform draws ports anew, so two services may be given the same one.
class HttpServers
{
public:
    explicit HttpServers(net::LibeventLoop &loop);
    ~HttpServers();

    //! Serves the paths that \a takes accepts at \a local; services added earlier go first.
    void add(const std::string &name, const net::Endpoint &local, HttpDispatch::Filter takes,
             HttpDispatch::Handler handler);

    //! Has \a supervisor start the servers; nothing may be added after that.
    void superviseBy(supervision::Supervisor &supervisor);

private:
    struct Server
    {
        std::string name;
        HttpDispatch dispatch;
        std::unique_ptr<HttpComponent> component;
    };

    net::LibeventLoop &loop;
    std::map<net::Endpoint, Server> servers;
};
}
