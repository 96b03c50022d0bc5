#include "endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

namespace radishladder::review {
namespace {
constexpr int kCannotRun = 2;
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;
}

std::string addressText(std::uint32_t address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string(address >> static_cast<unsigned int>(shift) & 0xffU);
        text += shift > 0 ? "." : "";
    }
    return text;
}

std::string endpointText(const Endpoint &endpoint)
{
    return addressText(endpoint.address) + ":" + std::to_string(endpoint.port);
}

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

Endpoint fromSocketAddress(const sockaddr_in &address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

int tryOpenSocket(int type, const Endpoint &local)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof kSocketBufferBytes);
    const sockaddr_in address = toSocketAddress(local);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        return descriptor;
    }
    ::close(descriptor);
    return -1;
}

int openSocket(int type, const Endpoint &local)
{
    const int descriptor = tryOpenSocket(type, local);
    if (descriptor < 0) {
        std::cerr << "cannot bind " << endpointText(local) << '\n';
        std::exit(kCannotRun);
    }
    return descriptor;
}
}
