#pragma once

#include "net/idatagramsocket.h"

#include "global/reason.h"

#include <chrono>
#include <memory>
#include <optional>

namespace radishladder::net {

//! UDP socket that uses recvmmsg and sendmmsg; allocates memory only when it is opened.
class BatchSocket : public IDatagramSocket
{
public:
    //! Opens a socket bound to \a local; returns nullptr and sets \a reason on failure.
    static std::unique_ptr<BatchSocket> open(const Endpoint &local, Reason &reason);

    ~BatchSocket() override;

    std::size_t receive(const Handler &handler) override;
    void send(std::span<const std::uint8_t> payload, const Endpoint &to) override;
    void flush() override;
    int descriptor() const override;

    //! Measures the time in the receive queue from now on.
    void measureQueueTime();

    //! Returns how long the datagram that is being handled waited in the receive queue; 0 if that
    //! is not measured. A change of the time of day during the wait makes it wrong.
    std::chrono::nanoseconds queueTime() const;

    //! Returns the number of datagrams that were too large or that the kernel refused to send.
    std::uint64_t sendFailures() const;

private:
    struct State;
    explicit BatchSocket(std::unique_ptr<State> state);

    std::unique_ptr<State> state;
};
}
