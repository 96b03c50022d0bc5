#pragma once

#include "net/types/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace radishladder::net {

//! Bound UDP socket that receives and sends in batches.
class IDatagramSocket
{
public:
    using Handler = std::function<void(std::span<std::uint8_t> payload, const Endpoint &from)>;

    virtual ~IDatagramSocket() = default;

    //! Passes the datagrams in the receive queue to \a handler, up to a fixed number per call, then
    //! flushes the send queue; returns the number of datagrams. A payload is valid only during the
    //! call of \a handler.
    virtual std::size_t receive(const Handler &handler) = 0;

    //! Queues a copy of \a payload for \a to; flushes a full queue first.
    virtual void send(std::span<const std::uint8_t> payload, const Endpoint &to) = 0;

    //! Sends all queued datagrams.
    virtual void flush() = 0;

    //! Returns the file descriptor to poll for incoming datagrams.
    virtual int descriptor() const = 0;
};
}
