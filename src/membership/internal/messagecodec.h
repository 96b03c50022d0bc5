#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <vector>

namespace radishladder::membership {

inline constexpr std::size_t kMaxMessageItems = 1024;
inline constexpr std::size_t kMaxMessageBytes = 4096;
inline constexpr std::size_t kMaxMessageDepth = 8;

template <typename Message>
std::vector<std::uint8_t> encodeMessage(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.data() + buffer.size()};
}

//! std::nullopt if \a bytes hold no such message.
template <typename Message>
std::optional<Message> decodeMessage(std::span<const std::uint8_t> bytes)
{
    // The limits keep a short datagram from asking for much memory.
    const msgpack::unpack_limit limit(kMaxMessageItems, kMaxMessageItems, kMaxMessageBytes,
                                      kMaxMessageBytes, kMaxMessageBytes, kMaxMessageDepth);
    try {
        const auto handle = msgpack::unpack(reinterpret_cast<const char *>(bytes.data()),
                                            bytes.size(), nullptr, nullptr, limit);
        return handle.get().as<Message>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
}
