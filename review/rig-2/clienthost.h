#pragma once

#include "flows/types/flowkey.h"
#include "net/batchsocket.h"
#include "platform/standins/wirepacket.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace review {
class Rig;

//! Stand-in of the clients of one zone: opens flows and sends requests on them, by the page on
//! flows. Requests are not retried on another flow.
class Client
{
public:
    using Clock = std::chrono::steady_clock;
    using Key = radishladder::flows::FlowKey;

    //! How a flow is used: requests one after the other, with a pause after each answer.
    struct Plan
    {
        int requests = 1;
        std::chrono::milliseconds pause{0};
    };

    //! A flow as its client sees it.
    struct Session
    {
        Key key;
        Plan plan;
        Clock::time_point openedAt;
        bool isOpen = false;
        bool isWaiting = false;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t hostSequence = 0;
        std::uint32_t token = 0;
        int answered = 0;

        //! Incremented with each request and answer, so that older timers have no effect.
        int step = 0;
    };

    Client(Rig &rig, std::string zone, std::uint32_t address);

    bool start();

    //! Opens a flow to \a service from \a port, or from the next port if it is 0; returns its key.
    Key open(const radishladder::net::Endpoint &service, const Plan &plan, std::uint16_t port = 0);

    //! Returns the key that a flow from \a port would have.
    Key keyOf(const radishladder::net::Endpoint &service, std::uint16_t port) const;

    //! Opens \a perSecond flows a second with one request each, until the run ends.
    void keepOpening(const radishladder::net::Endpoint &service, int perSecond);

    const Session *find(std::uint16_t port) const;

    //! Called when a flow gets a reset that no host wrote.
    std::function<void(const Session &)> onSystemReset;

    int answered = 0;
    int opened = 0;
    int unanswered = 0;

private:
    void receive();
    void handle(std::span<const std::uint8_t> datagram);
    void onReset(Session &session, const radishladder::platform::WirePacket &packet);
    void onData(Session &session, const radishladder::platform::WirePacket &packet);
    void sendSyn(Session &session, std::uint32_t copy);
    void beginRequest(Session &session);
    void sendRequest(Session &session, std::chrono::milliseconds delay);
    void send(Session &session, radishladder::platform::WirePacket packet);
    void schedule(Session &session, std::chrono::milliseconds delay,
                  std::function<void(Session &)> action);
    void finish(Session &session, const std::string &outcome);
    std::string textOf(const Session &session) const;

    Rig &rig;
    std::string zone;
    std::uint32_t address;
    std::uint16_t lastPort = 20000;
    std::unique_ptr<radishladder::net::BatchSocket> socket;
    std::unordered_map<std::uint16_t, std::unique_ptr<Session>> sessions;
};
}
