#include "placement/factkeys.h"

#include <charconv>

namespace radishladder::placement {
namespace {
constexpr std::string_view kMarkPrefix = "mark/";
constexpr std::string_view kReleasedPrefix = "released/";
constexpr int kHexBase = 16;
}

std::string markKey(std::uint64_t wireId)
{
    char text[2 * sizeof wireId];
    const auto end = std::to_chars(text, text + sizeof text, wireId, kHexBase);
    return std::string(kMarkPrefix) + std::string(text, end.ptr);
}

std::optional<std::uint64_t> markedWireId(const std::string &factKey)
{
    if (!factKey.starts_with(kMarkPrefix)) {
        return std::nullopt;
    }
    std::uint64_t wireId = 0;
    const char *last = factKey.data() + factKey.size();
    const auto parsed =
        std::from_chars(factKey.data() + kMarkPrefix.size(), last, wireId, kHexBase);
    return parsed.ec == std::errc() && parsed.ptr == last ? std::make_optional(wireId)
                                                          : std::nullopt;
}

std::string releasedKey(const ServiceName &service)
{
    return std::string(kReleasedPrefix) + service.str();
}
}
