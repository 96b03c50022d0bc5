#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>

namespace radishladder {
class IRandom;
}
namespace radishladder::flows {
struct FlowKey;
}
namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}
namespace radishladder::platform {
struct WirePacket;
}

namespace radishladder::radishbench {
class Verdicts;

//! Callers behind one address: open flows, send requests with repeats, keep flows open till they
//! end, and check what they get back.
class Caller
{
public:
    //! Hands a datagram to the VM that the router picks for \a flow; false if there is none.
    using Route = std::function<bool(const flows::FlowKey &flow, std::span<const std::uint8_t>)>;

    //! True if an undisturbed upstream holds \a flow, accepted with \a sequence and opened at \a
    //! openedAt, and no configuration has dropped its route.
    using Holds = std::function<bool(const flows::FlowKey &flow, std::uint32_t sequence,
                                     std::chrono::steady_clock::time_point openedAt)>;

    Caller(net::IEventLoop &loop, IRandom &random, Verdicts &verdicts, net::Endpoint local,
           Route route, Holds holds);
    ~Caller();

    //! False if the address is taken.
    bool start();

    //! Opens a flow to \a service and sends \a requests on it, one after the other.
    void open(const net::Endpoint &service, int requests);

private:
    struct Session;

    void receive();
    void handle(std::span<const std::uint8_t> datagram);
    void onReset(Session &session, const platform::WirePacket &packet);
    void onAnswer(Session &session, const platform::WirePacket &packet);
    void sendOpening(Session &session, std::uint32_t copy);
    void sendRequest(Session &session, std::chrono::milliseconds nextRepeat);
    void sendPacket(Session &session, platform::WirePacket packet);
    void later(Session &session, std::chrono::milliseconds delay,
               std::function<void(Session &)> step);
    void finish(Session &session, const char *outcome);

    net::IEventLoop &loop;
    IRandom &random;
    Verdicts &verdicts;
    net::Endpoint local;
    Route route;
    Holds holds;
    std::unique_ptr<net::BatchSocket> socket;
    std::uint16_t lastPort = 1024;
    std::unordered_map<std::uint16_t, std::unique_ptr<Session>> sessions;
};
}
