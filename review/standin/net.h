#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace review {

//! IPv4 address in host byte order, and port.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

//! Returns the address 127.0.\a third.\a fourth.
std::uint32_t loopback(unsigned third, unsigned fourth);
std::string addressText(std::uint32_t address);
std::string endpointText(const Endpoint &endpoint);

//! Opens a socket that is bound to \a local; returns -1 if the address is in use.
int openUdp(const Endpoint &local);
int listenTcp(const Endpoint &local);

//! Begins to connect without blocking; returns -1 on failure.
int connectTcp(const Endpoint &server);

//! Returns a port that is free on all of \a addresses, for TCP and UDP; 0 if there is none.
std::uint16_t findFreePort(const std::vector<std::uint32_t> &addresses);

void sendUdp(int socket, std::span<const std::uint8_t> bytes, const Endpoint &to);

//! Receives one datagram; std::nullopt if none waits.
std::optional<std::vector<std::uint8_t>> receiveUdp(int socket);

//! Addresses of a flow as its client writes them.
struct FlowKey
{
    Endpoint client;
    Endpoint service;

    auto operator<=>(const FlowKey &) const = default;
};

//! Packet in the format of the platform.
struct Packet
{
    Endpoint source;
    Endpoint target;
    bool isSyn = false;
    bool isAck = false;
    bool isFin = false;
    bool isRst = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::string data;

    //! Set by decode(): a client or a host wrote the packet as it is; false for a reset of a VM,
    //! whose checksum is 0.
    bool hasValidSum = true;
};

std::vector<std::uint8_t> encode(const Packet &packet);
std::optional<Packet> decode(std::span<const std::uint8_t> bytes);
}
