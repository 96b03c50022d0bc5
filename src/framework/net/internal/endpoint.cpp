#include "net/types/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace radishladder::net {
std::string addressText(std::uint32_t address)
{
    char text[INET_ADDRSTRLEN] = {};
    const in_addr raw{htonl(address)};
    inet_ntop(AF_INET, &raw, text, sizeof text);
    return text;
}

std::string endpointText(const Endpoint &endpoint)
{
    return addressText(endpoint.address) + ":" + std::to_string(endpoint.port);
}

std::optional<std::uint32_t> parseAddress(std::string_view text)
{
    in_addr raw{};
    if (inet_pton(AF_INET, std::string(text).c_str(), &raw) != 1) {
        return std::nullopt;
    }
    return ntohl(raw.s_addr);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto address = parseAddress(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    const bool isPortValid =
        parsed.ec == std::errc() && parsed.ptr == portText.data() + portText.size();
    if (!address || !isPortValid) {
        return std::nullopt;
    }
    return Endpoint{*address, port};
}
}
