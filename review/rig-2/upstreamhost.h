#pragma once

#include "flows/types/flowkey.h"
#include "net/batchsocket.h"
#include "net/types/endpoint.h"
#include "platform/standins/wirepacket.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace review {
class Rig;

//! Stand-in of a host in the form `echo`: accepts flows, runs three requests at once, queues twelve
//! more, and answers the clients directly.
class Host
{
public:
    using Clock = std::chrono::steady_clock;
    using Key = radishladder::flows::FlowKey;

    //! State of a flow that the host holds.
    struct Flow
    {
        std::uint32_t sequence = 0;
        std::uint32_t clientSequence = 0;
        std::uint32_t token = 0;
        bool isOpen = false;
        std::uint32_t lastRequest = 0;
        std::uint32_t lastAnswered = 0;
        int step = 0;
    };

    Host(Rig &rig, std::uint64_t id, std::string service, std::string zone,
         radishladder::net::Endpoint address);

    //! Begins to receive and writes its entry; \a coldFor is the rest of its warm-up.
    bool start(std::chrono::milliseconds coldFor);

    //! The process ends without notice: all flows are lost, the entry stays until it expires.
    void crash();

    //! Reports that it drains; it serves on.
    void drain();

    //! Writes the entry again, as the host does with its next heartbeat if the entry differs.
    void publish();

    bool isUp() const { return this->socket != nullptr; }
    bool holdsOpen(const Key &key) const;
    std::string entryKey() const;
    std::string name() const;

    std::uint64_t id;
    std::string service;
    std::string zone;
    radishladder::net::Endpoint address;

    //! How long a request takes, from the number of requests run so far.
    std::function<std::chrono::milliseconds(int)> workTime;

    //! Returns true if the datagram is lost on its way to the client.
    std::function<bool(const Host &, const radishladder::platform::WirePacket &)> isLost;

    //! Called with each packet of a client that arrives, before the host handles it.
    std::function<void(const Host &, const radishladder::platform::WirePacket &,
                       std::uint32_t vmAddress)>
        onPacket;

    Clock::time_point coldUntil;
    bool isDraining = false;
    Clock::time_point drainingSince;
    int requestsRun = 0;

private:
    void receive();
    void handle(std::span<const std::uint8_t> datagram, std::uint32_t vmAddress);
    void accept(const radishladder::platform::WirePacket &packet);
    void serve(const radishladder::platform::WirePacket &packet);
    void receiveRequest(const Key &key, const radishladder::platform::WirePacket &packet);
    void runNext();
    void answer(const Key &key, int step, const std::string &text);
    void sendSynAck(const Key &key, int step, std::chrono::milliseconds delay, int copiesLeft);
    void sendResponse(const Key &key, int step, std::chrono::milliseconds delay, int copiesLeft);
    void send(const radishladder::platform::WirePacket &packet);
    void after(std::chrono::milliseconds delay, std::function<void()> task);

    Rig &rig;
    std::uint64_t born = 0;
    int running = 0;

    //! Requests that wait for a slot, by flow and the flow's step.
    std::deque<std::pair<Key, int>> queue;
    std::uint32_t warmupLeftMs = 0;
    std::int64_t sequenceOfEntry = 0;
    std::unique_ptr<radishladder::net::BatchSocket> socket;
    std::unordered_map<Key, Flow> flows;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
