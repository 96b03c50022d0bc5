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

//! The HTTP servers of a VM, one per address. A service here is a set of paths with one handler,
//! such as the readiness probe. Several services may share an address, because the platform assigns
//! ports anew and may assign the same port to two services.
class HttpServers
{
public:
    explicit HttpServers(net::LibeventLoop &loop);
    ~HttpServers();

    //! Adds a service at address \a local that handles the paths for which \a accepts returns true;
    //! services added earlier have precedence.
    void add(const std::string &name, const net::Endpoint &local, HttpDispatch::Filter accepts,
             HttpDispatch::Handler handler);

    //! Registers the servers with \a supervisor, which starts them; no service may be added after
    //! that.
    void registerWith(supervision::Supervisor &supervisor);

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
