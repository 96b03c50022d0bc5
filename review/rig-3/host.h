#pragma once

#include "eventloop.h"
#include "hostsettings.h"
#include "opening.h"
#include "packet.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace radishladder::review {
class Store;

//! Stand-in of a host, as PROTOCOL.md describes it: registers itself in the store and takes flows
//! over UDP.
class Host
{
public:
    Host(EventLoop &loop, Store &store, const HostSettings &settings);

    //! Starts a new incarnation; the host is cold if it starts during traffic.
    void start(bool isDuringTraffic);

    //! Reports that the host is leaving; it keeps its flows and still accepts SYNs.
    void drain();

    //! Ends the process of the host; its entry and its flows go.
    void stop();

    bool isCold() const { return EventLoop::now() < this->warmAt; }
    std::size_t flowCount() const { return this->flows.size(); }
    const HostSettings &hostSettings() const { return this->settings; }

    //! Called when the host has taken a SYN that opens a flow, once the client acknowledges it.
    std::function<void(const Opening &)> onOpened;

    //! Returns true if the network loses this transmission of the SYN+ACK of a flow, 0 being the
    //! first one.
    std::function<bool(const FlowKey &, int)> losesSynAck;

    //! Called when the host sends a reset for a flow that it doesn't hold.
    std::function<void(const FlowKey &)> onReset;

    //! Called when the host runs a request; receives the flow and the request's id.
    std::function<void(const FlowKey &, const std::string &)> onRun;

private:
    struct Flow
    {
        std::uint32_t clientSequence = 0;
        std::uint32_t ownSequence = 0;
        std::uint32_t echo = 0;
        std::uint32_t sentEnd = 0;
        bool isOpen = false;
        int retransmissions = 0;
        Opening opening;

        //! Packet that waits for an acknowledgement.
        Packet unacknowledged;
        bool isWaiting = false;
        std::uint64_t generation = 0;
    };

    void receive();
    void handle(const Packet &packet);
    void handleSyn(const Packet &packet);
    void handleData(const FlowKey &key, Flow &flow, const Packet &packet);
    void sendReliably(const FlowKey &key, Flow &flow, const Packet &packet);
    void retransmit(const FlowKey &key, std::uint64_t generation);
    void transmit(const FlowKey &key, Flow &flow);
    void send(const Packet &packet);
    void sendReset(const Packet &packet);
    void runNext();
    void finish(const FlowKey &key, const std::string &id);
    void beat(std::uint64_t incarnation);
    void writeEntry();

    EventLoop &loop;
    Store &store;
    HostSettings settings;
    int socket = -1;
    std::uint64_t incarnation = 0;
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    bool isDraining = false;
    EventLoop::Clock::time_point warmAt;
    std::map<FlowKey, Flow> flows;
    std::deque<std::pair<FlowKey, std::string>> queue;
    std::size_t running = 0;
    std::uint64_t lastGeneration = 0;
    std::uint32_t lastSequence = 1000;
};
}
