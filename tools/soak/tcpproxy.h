#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace radishladder::net {
class LibeventLoop;
}

namespace radishladder::soak {

//! What a proxy does to the bytes that pass it.
enum class ProxyFault : std::uint8_t {
    None,
    Delay, //!< each piece is held back for a while
    Reset, //!< connections are reset as they come
    OneWay, //!< nothing comes back from the server
    Silence, //!< nothing passes, and connections stay open
};

//! TCP proxy on loopback between one VM and the store.
class TcpProxy
{
public:
    TcpProxy(net::LibeventLoop &loop, const net::Endpoint &local, const net::Endpoint &server);
    ~TcpProxy();

    //! False if the address is taken.
    bool start();

    void setFault(ProxyFault fault);

private:
    struct State;
    std::unique_ptr<State> state;
};
}
