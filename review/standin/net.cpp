#include "net.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {
constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kSumOffset = 2;
constexpr std::size_t kEchoOffset = 14;
constexpr std::uint8_t kResetFlag = 2;
constexpr std::uint8_t kSynFlag = 4;
constexpr std::uint8_t kAckFlag = 8;
constexpr std::uint8_t kFinFlag = 64;
constexpr int kFirstPort = 21000;
constexpr int kLastPort = 29000;

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

int openSocket(int type, const Endpoint &local)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    const sockaddr_in address = toSocketAddress(local);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

void write(std::vector<std::uint8_t> &bytes, std::size_t offset, std::uint32_t value,
           std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i) {
        bytes[offset + i] = static_cast<std::uint8_t>(value >> 8U * i);
    }
}

std::uint32_t read(std::span<const std::uint8_t> bytes, std::size_t offset, std::size_t size)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value |= static_cast<std::uint32_t>(bytes[offset + i]) << 8U * i;
    }
    return value;
}

//! FNV-1a of all bytes but the checksum, the echo and the padding; never 0, as in resets of a VM.
std::uint32_t sumOf(std::span<const std::uint8_t> bytes)
{
    std::uint32_t sum = 2166136261U;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const bool isCovered = (i < kSumOffset || i >= kSumOffset + 4)
            && (i < kEchoOffset || i >= kEchoOffset + 4) && i != 19;
        sum = isCovered ? (sum ^ bytes[i]) * 16777619U : sum;
    }
    return sum | 1U;
}
}

std::uint32_t loopback(unsigned third, unsigned fourth)
{
    return 0x7f000000U | third << 8U | fourth;
}

std::string addressText(std::uint32_t address)
{
    const in_addr network{htonl(address)};
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &network, text.data(), text.size());
    return text.data();
}

std::string endpointText(const Endpoint &endpoint)
{
    return addressText(endpoint.address) + ":" + std::to_string(endpoint.port);
}

int openUdp(const Endpoint &local)
{
    return openSocket(SOCK_DGRAM, local);
}

int listenTcp(const Endpoint &local)
{
    const int descriptor = openSocket(SOCK_STREAM, local);
    if (descriptor >= 0 && ::listen(descriptor, 128) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

int connectTcp(const Endpoint &server)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = toSocketAddress(server);
    // The result comes later, since the socket does not block.
    static_cast<void>(
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    return descriptor;
}

std::uint16_t findFreePort(const std::vector<std::uint32_t> &addresses)
{
    const int count = kLastPort - kFirstPort;
    for (int i = 0; i < count; ++i) {
        const int offset = static_cast<int>((::getpid() * 37LL + i) % count);
        const auto port = static_cast<std::uint16_t>(kFirstPort + offset);
        bool isFree = true;
        for (const std::uint32_t address : addresses) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int descriptor = openSocket(type, {address, port});
                isFree = isFree && descriptor >= 0;
                if (descriptor >= 0) {
                    ::close(descriptor);
                }
            }
        }
        if (isFree) {
            return port;
        }
    }
    return 0;
}

void sendUdp(int socket, std::span<const std::uint8_t> bytes, const Endpoint &to)
{
    const sockaddr_in address = toSocketAddress(to);
    ::sendto(socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

std::optional<std::vector<std::uint8_t>> receiveUdp(int socket)
{
    std::vector<std::uint8_t> bytes(2048);
    const auto size = ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size));
    return bytes;
}

std::vector<std::uint8_t> encode(const Packet &packet)
{
    std::vector<std::uint8_t> bytes(kHeaderBytes, 0);
    write(bytes, 0, static_cast<std::uint32_t>(packet.data.size()), 2);
    write(bytes, 6, packet.sequence, 4);
    write(bytes, 10, packet.acknowledged, 4);
    write(bytes, kEchoOffset, packet.echo, 4);
    bytes[18] = static_cast<std::uint8_t>(
        (packet.isSyn ? kSynFlag : 0) | (packet.isAck ? kAckFlag : 0)
        | (packet.isFin ? kFinFlag : 0) | (packet.isRst ? kResetFlag : 0));
    write(bytes, 20, packet.source.address, 4);
    write(bytes, 24, packet.source.port, 2);
    write(bytes, 26, packet.target.port, 2);
    write(bytes, 28, packet.target.address, 4);
    bytes.insert(bytes.end(), packet.data.begin(), packet.data.end());
    write(bytes, kSumOffset, sumOf(bytes), 4);
    return bytes;
}

std::optional<Packet> decode(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < kHeaderBytes || bytes.size() != kHeaderBytes + read(bytes, 0, 2)) {
        return std::nullopt;
    }
    const std::uint8_t flags = bytes[18];
    return Packet{.source = {read(bytes, 20, 4), static_cast<std::uint16_t>(read(bytes, 24, 2))},
                  .target = {read(bytes, 28, 4), static_cast<std::uint16_t>(read(bytes, 26, 2))},
                  .isSyn = (flags & kSynFlag) != 0,
                  .isAck = (flags & kAckFlag) != 0,
                  .isFin = (flags & kFinFlag) != 0,
                  .isRst = (flags & kResetFlag) != 0,
                  .sequence = read(bytes, 6, 4),
                  .acknowledged = read(bytes, 10, 4),
                  .echo = read(bytes, kEchoOffset, 4),
                  .data = std::string(bytes.begin() + kHeaderBytes, bytes.end()),
                  .hasValidSum = read(bytes, kSumOffset, 4) == sumOf(bytes)};
}
}
