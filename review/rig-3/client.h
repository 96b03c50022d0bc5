#pragma once

#include "endpoint.h"
#include "eventloop.h"
#include "packet.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace radishladder::review {
class Router;

//! How a flow of a client ended, or that it has opened.
enum class FlowResult : std::uint8_t {
    Answered, //!< the last request got its response
    NotOpened, //!< no SYN+ACK within 1.4 s, or a reset before one
    Reset, //!< a reset on the open flow
    TimedOut, //!< no response until the client's deadline
};

//! Stand-in of a client at one address, as PROTOCOL.md describes it.
class Client
{
public:
    struct Plan
    {
        Endpoint route;

        //! Requests of the flow and the pause between them; the flow closes after the last one.
        int requests = 1;
        EventLoop::Duration pause{0};
        EventLoop::Duration deadline{3000};
    };
    struct Report
    {
        FlowKey flow;
        FlowResult result = FlowResult::Answered;

        //! VM to which the packets of the flow are sent now.
        std::size_t vm = 0;
    };

    Client(EventLoop &loop, Router &router, const Endpoint &local, std::string zone);

    void open(const Plan &plan);

    //! Lets the open flows of this client end after their next response, at most \a count of them.
    void closeFlows(std::size_t count);

    //! Called when a SYN is sent, with the number of the copy and of the VM that gets it.
    std::function<void(const FlowKey &, std::uint32_t, std::size_t)> onSyn;

    //! Called when a flow has ended.
    std::function<void(const Report &)> onEnd;

private:
    enum class Phase : std::uint8_t { Opening, Open, Closing };
    struct Flow
    {
        Plan plan;
        Phase phase = Phase::Opening;
        std::uint32_t initialSequence = 0;
        std::uint32_t sequence = 0;
        std::uint32_t hostSequence = 0;
        std::uint32_t echo = 0;
        int requestsSent = 0;
        int retransmissions = 0;
        bool isWaiting = false;
        std::uint64_t generation = 0;
        Packet unacknowledged;
    };

    void receive();
    void handle(const Packet &packet);
    void onSynAck(std::uint16_t port, Flow &flow, const Packet &packet);
    void onResponse(std::uint16_t port, Flow &flow, const Packet &packet);
    void sendSyn(std::uint16_t port, std::uint32_t copy);
    void sendRequest(std::uint16_t port, Flow &flow);
    void sendAck(std::uint16_t port, std::uint32_t acknowledged);
    void sendFin(std::uint16_t port, Flow &flow);
    void retransmit(std::uint16_t port, std::uint64_t generation);
    void end(std::uint16_t port, FlowResult result);
    Packet packetOf(std::uint16_t port, const Flow &flow) const;
    FlowKey keyOf(std::uint16_t port, const Flow &flow) const;

    EventLoop &loop;
    Router &router;
    Endpoint local;
    std::string zone;
    int socket = -1;
    std::map<std::uint16_t, Flow> flows;
    std::uint16_t lastPort = 20000;
    std::uint64_t lastGeneration = 0;
    std::uint64_t requestCount = 0;
};
}
