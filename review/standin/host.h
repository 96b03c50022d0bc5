#pragma once

#include "loop.h"
#include "net.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {
class Record;
class Store;

//! Stand-in of a host: takes flows, runs their requests and answers the clients directly.
class Host
{
public:
    struct Settings
    {
        std::uint64_t id = 0;
        std::string name;
        std::string zone;
        std::string service;
        Endpoint address;
        std::uint16_t clientPort = 0;
        Milliseconds work{50};
        int slots = 3;

        //! Time for which the host is cold after its start.
        Milliseconds warmup{0};
    };

    //! Called with the opening packet of each flow that the host takes.
    using OpeningHandler = std::function<void(const Packet &opening)>;

    Host(Loop &loop, Store &store, Record &record, Settings settings);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    bool start();
    void drain();

    //! Ends the host; its entry is removed from the store.
    void leave();

    void setOpeningHandler(OpeningHandler handler) { this->onOpening = std::move(handler); }

    //! Sets whether the network loses the next SYN+ACK of the host, as it loses a datagram from
    //! time to time.
    void setLosesNextSynAck(bool isLost) { this->losesSynAck = isLost; }

    bool isUp() const { return this->socket >= 0; }
    bool isDraining() const { return this->draining; }
    bool holds(const FlowKey &flow) const;
    const Settings &about() const { return this->settings; }
    std::size_t requestsAtWork() const { return this->atWork; }

private:
    struct Flow
    {
        std::uint32_t sequence = 0;
        std::uint32_t expected = 0;
        std::uint32_t echo = 0;
        bool isOpen = false;
        int transmissions = 0;
        std::string lastResponse;
    };

    void receive();
    void handle(const Packet &packet);
    void accept(const Packet &packet, const FlowKey &key);
    void sendSynAck(const FlowKey &key);
    void run(const FlowKey &key, const Packet &request);
    void send(const Packet &packet);
    void publish();

    Loop &loop;
    Store &store;
    Record &record;
    Settings settings;
    OpeningHandler onOpening;
    int socket = -1;
    bool draining = false;
    bool isCold = false;
    bool losesSynAck = false;
    std::size_t atWork = 0;
    std::map<FlowKey, Flow> flows;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};
}
