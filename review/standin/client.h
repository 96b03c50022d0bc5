#pragma once

#include "loop.h"
#include "net.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {
class Record;

//! Stand-in of the clients at one address. Each flow sends its requests one after the other.
class Client
{
public:
    enum class Outcome {
        Answered, //!< all requests were answered
        NeverOpened,
        Reset, //!< reset after the flow had opened
        Late, //!< a request got no answer until its deadline
    };

    struct Flow
    {
        FlowKey key;
        std::vector<Milliseconds> pauses;
        std::size_t answered = 0;
        bool isOpen = false;
        bool isWaiting = false;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t echo = 0;
        int step = 0;
        Time synSentAt;

        //! Set if a reset ended the flow: a VM wrote it, since its checksum is 0.
        bool isResetByVm = false;
    };

    //! Sends a packet of a flow to the VM that the routers choose.
    using Router = std::function<void(const FlowKey &flow, const Packet &packet)>;
    using OutcomeHandler = std::function<void(const Flow &flow, Outcome outcome)>;

    Client(Loop &loop, Record &record, const Endpoint &local, Router route);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    bool start();
    void setOutcomeHandler(OutcomeHandler handler) { this->onOutcome = std::move(handler); }

    //! Opens a flow from \a port. It sends one request for each of \a pauses, which pass before the
    //! request.
    void open(std::uint16_t port, const Endpoint &service, std::vector<Milliseconds> pauses);

    const Flow *find(std::uint16_t port) const;

private:
    void receive();
    void handle(const Packet &packet);
    void sendSyn(Flow &flow, std::uint32_t earlierTransmissions);
    void sendNextRequest(Flow &flow);
    void sendRequest(Flow &flow, Milliseconds retryDelay);
    void send(Flow &flow, Packet packet);
    void finish(Flow &flow, Outcome outcome);
    void after(Milliseconds delay, Flow &flow, std::function<void(Flow &)> task);
    std::string requestText(const Flow &flow) const;

    Loop &loop;
    Record &record;
    Endpoint local;
    Router route;
    OutcomeHandler onOutcome;
    int socket = -1;
    std::map<std::uint16_t, std::unique_ptr<Flow>> flows;
};
}
