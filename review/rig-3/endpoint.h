#pragma once

#include <compare>
#include <cstdint>
#include <string>

struct sockaddr_in;

namespace radishladder::review {

//! IPv4 address and port in host byte order.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

std::string addressText(std::uint32_t address);
std::string endpointText(const Endpoint &endpoint);
sockaddr_in toSocketAddress(const Endpoint &endpoint);
Endpoint fromSocketAddress(const sockaddr_in &address);

//! Opens a socket of \a type that is bound to \a local; returns -1 if the address is in use.
int tryOpenSocket(int type, const Endpoint &local);

//! Opens a socket of \a type that is bound to \a local; ends the program with status 2 if the
//! address is in use.
int openSocket(int type, const Endpoint &local);
}
