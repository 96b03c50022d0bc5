#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace radishladder::net {
class LibeventLoop;
}

namespace radishladder::soak {

//! Fault that a proxy applies to the connections through it.
enum class ProxyFault : std::uint8_t {
    None,
    Delay, //!< data is forwarded in both directions after a delay
    Reset, //!< open and new connections are reset
    OneWay, //!< data from the server is discarded
    Blackhole, //!< data in both directions is discarded; connections stay open
};

//! TCP proxy on loopback between one VM and the store.
class TcpProxy
{
public:
    TcpProxy(net::LibeventLoop &loop, const net::Endpoint &local, const net::Endpoint &server);
    ~TcpProxy();

    //! Starts to listen; returns false if the address is in use.
    bool start();

    void setFault(ProxyFault fault);

private:
    struct State;
    std::unique_ptr<State> state;
};
}
