#include "net/batchsocket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace radishladder::net {
namespace {
constexpr std::size_t kBatchSize = 64;
constexpr std::size_t kMaxDatagramBytes = 2048;
constexpr std::size_t kMaxBatchesPerReceive = 16;
constexpr int kSocketBufferBytes = 8 * 1024 * 1024;

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

//! Space for the receive time of one datagram.
using ControlBuffer = std::array<std::uint8_t, CMSG_SPACE(sizeof(timespec))>;

std::chrono::nanoseconds durationOf(const timespec &time)
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

//! Returns the time since the kernel received the datagram of \a header; 0 if it is unknown.
std::chrono::nanoseconds timeInQueue(msghdr &header)
{
    for (cmsghdr *part = CMSG_FIRSTHDR(&header); part != nullptr;
         part = CMSG_NXTHDR(&header, part)) {
        if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == SCM_TIMESTAMPNS) {
            timespec received{};
            std::memcpy(&received, CMSG_DATA(part), sizeof received);
            timespec now{};
            ::clock_gettime(CLOCK_REALTIME, &now);
            return std::max(durationOf(now) - durationOf(received), std::chrono::nanoseconds(0));
        }
    }
    return std::chrono::nanoseconds(0);
}

//! Preallocated buffers and message headers for one direction.
struct Batch
{
    std::array<std::array<std::uint8_t, kMaxDatagramBytes>, kBatchSize> buffers;
    std::array<sockaddr_in, kBatchSize> addresses{};
    std::array<iovec, kBatchSize> vectors{};
    std::array<mmsghdr, kBatchSize> headers{};

    Batch()
    {
        for (std::size_t i = 0; i < kBatchSize; ++i) {
            this->vectors[i] = {this->buffers[i].data(), kMaxDatagramBytes};
            this->headers[i].msg_hdr.msg_name = &this->addresses[i];
            this->headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
            this->headers[i].msg_hdr.msg_iov = &this->vectors[i];
            this->headers[i].msg_hdr.msg_iovlen = 1;
        }
    }
};
}

struct BatchSocket::State
{
    int socket = -1;
    Batch incoming;
    Batch outgoing;
    std::size_t queued = 0;
    std::uint64_t failures = 0;
    bool measuresQueueTime = false;
    alignas(cmsghdr) std::array<ControlBuffer, kBatchSize> controls{};
    std::chrono::nanoseconds queueTime{0};
};

std::unique_ptr<BatchSocket> BatchSocket::open(const Endpoint &local, Reason &reason)
{
    auto state = std::make_unique<State>();
    state->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = toSocketAddress(local);
    if (state->socket < 0
        || ::bind(state->socket, reinterpret_cast<const sockaddr *>(&address), sizeof address)
            != 0) {
        reason = {ResultCode::SocketFailed,
                  "udp " + endpointText(local) + ": " + std::strerror(errno)};
        if (state->socket >= 0) {
            ::close(state->socket);
        }
        return nullptr;
    }
    ::setsockopt(state->socket, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
                 sizeof kSocketBufferBytes);
    ::setsockopt(state->socket, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
                 sizeof kSocketBufferBytes);
    return std::unique_ptr<BatchSocket>(new BatchSocket(std::move(state)));
}

BatchSocket::BatchSocket(std::unique_ptr<State> state) : state(std::move(state)) { }

BatchSocket::~BatchSocket()
{
    this->flush();
    ::close(this->state->socket);
}

std::size_t BatchSocket::receive(const Handler &handler)
{
    std::size_t total = 0;
    Batch &batch = this->state->incoming;
    for (std::size_t round = 0; round < kMaxBatchesPerReceive; ++round) {
        for (std::size_t i = 0; i < kBatchSize; ++i) {
            msghdr &header = batch.headers[i].msg_hdr;
            header.msg_namelen = sizeof(sockaddr_in);
            if (this->state->measuresQueueTime) {
                header.msg_control = this->state->controls[i].data();
                header.msg_controllen = sizeof(ControlBuffer);
            }
        }
        const int count = ::recvmmsg(this->state->socket, batch.headers.data(), kBatchSize,
                                     MSG_DONTWAIT, nullptr);
        for (int i = 0; i < count; ++i) {
            const Endpoint from{ntohl(batch.addresses[i].sin_addr.s_addr),
                                ntohs(batch.addresses[i].sin_port)};
            if (this->state->measuresQueueTime) {
                this->state->queueTime = timeInQueue(batch.headers[i].msg_hdr);
            }
            handler({batch.buffers[i].data(), batch.headers[i].msg_len}, from);
        }
        total += static_cast<std::size_t>(std::max(count, 0));
        if (count < static_cast<int>(kBatchSize)) {
            break;
        }
    }
    this->flush();
    return total;
}

void BatchSocket::measureQueueTime()
{
    const int isEnabled = 1;
    this->state->measuresQueueTime =
        ::setsockopt(this->state->socket, SOL_SOCKET, SO_TIMESTAMPNS, &isEnabled, sizeof isEnabled)
        == 0;
}

std::chrono::nanoseconds BatchSocket::queueTime() const
{
    return this->state->queueTime;
}

void BatchSocket::send(std::span<const std::uint8_t> payload, const Endpoint &to)
{
    if (payload.size() > kMaxDatagramBytes) {
        ++this->state->failures;
        return;
    }
    if (this->state->queued == kBatchSize) {
        this->flush();
    }
    Batch &batch = this->state->outgoing;
    const std::size_t i = this->state->queued++;
    std::memcpy(batch.buffers[i].data(), payload.data(), payload.size());
    batch.vectors[i].iov_len = payload.size();
    batch.addresses[i] = toSocketAddress(to);
}

void BatchSocket::flush()
{
    std::size_t sent = 0;
    while (sent < this->state->queued) {
        const int count = ::sendmmsg(this->state->socket, &this->state->outgoing.headers[sent],
                                     this->state->queued - sent, MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        // sendmmsg failed on the first of the remaining datagrams, for example because its
        // destination is unreachable; skip only this datagram.
        ++this->state->failures;
        ++sent;
    }
    this->state->queued = 0;
}

int BatchSocket::descriptor() const
{
    return this->state->socket;
}

std::uint64_t BatchSocket::sendFailures() const
{
    return this->state->failures;
}
}
