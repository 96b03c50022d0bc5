#pragma once

#include "flows/types/flowkey.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace radishladder::net {
class BatchSocket;
class IEventLoop;
}

namespace radishladder::standins {

//! Callers that hold flows through the fabric and judge each by its own packets.
class FlowCaller
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Hands one packet to the fabric.
    using Fabric = std::function<void(std::span<const std::uint8_t> packet)>;

    //! Why a flow did not end well.
    enum class Cause {
        Reset,
        OtherUpstream,
        NoProgress,
    };

    //! A flow that did not end well, as its caller saw it.
    struct Loss
    {
        Cause cause = Cause::Reset;
        std::string upstream;
        net::Endpoint caller;
        TimePoint openedAt;
        TimePoint at;
    };

    //! Kinds of flows opened, answered and lost so far.
    struct Counts
    {
        std::uint64_t opened = 0;
        std::uint64_t finished = 0;
        std::uint64_t notOpened = 0;
        std::uint64_t answeredPackets = 0;
        std::map<std::string, std::uint64_t> openedByUpstream;
        std::vector<Loss> losses;
    };

    FlowCaller(std::vector<std::uint32_t> addresses, net::IEventLoop &loop, Fabric fabric);
    ~FlowCaller();

    bool start();

    //! Opens a flow to \a service that lasts \a lifetime and sends a packet every \a interval.
    void open(const net::Endpoint &service, std::chrono::milliseconds lifetime,
              std::chrono::milliseconds interval);

    //! Sends what is due, again where no answer came; call it often.
    void tick(TimePoint now);

    //! Judges a packet that an upstream sent to a caller.
    void receive(std::span<const std::uint8_t> packet, TimePoint now);

    const Counts &counts() const { return this->results; }

    //! Flows that have not ended.
    std::size_t running() const { return this->flows.size(); }

private:
    enum class State {
        Opening,
        Open,
        Done,
    };

    struct Flow
    {
        flows::FlowKey key;
        State state = State::Opening;
        std::chrono::milliseconds interval{0};
        TimePoint openedAt;
        TimePoint endsAt;
        TimePoint nextSend;
        TimePoint waitingSince;
        std::chrono::milliseconds backoff{0};
        std::uint64_t sequence = 0;
        bool isAnswered = true;
        std::string upstream;
    };

    net::Endpoint nextCaller();
    void send(Flow &flow, TimePoint now);
    void advance(Flow &flow, TimePoint now);
    void noteOpened(Flow &flow, std::span<const std::uint8_t> payload, TimePoint now);
    void noteAnswer(Flow &flow, std::span<const std::uint8_t> payload, TimePoint now);
    void lose(Flow &flow, Cause cause, TimePoint now);

    std::vector<std::uint32_t> addresses;
    net::IEventLoop &loop;
    Fabric fabric;
    std::vector<std::unique_ptr<net::BatchSocket>> sockets;
    std::map<net::Endpoint, Flow> flows;
    std::uint64_t turn = 0;
    Counts results;
};
}
