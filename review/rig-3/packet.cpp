#include "packet.h"

#include <algorithm>

namespace radishladder::review {
namespace {
constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kSumOffset = 2;
constexpr std::size_t kSequenceOffset = 6;
constexpr std::size_t kAcknowledgedOffset = 10;
constexpr std::size_t kEchoOffset = 14;
constexpr std::size_t kFlagsOffset = 18;
constexpr std::size_t kSourceOffset = 20;
constexpr std::size_t kSourcePortOffset = 24;
constexpr std::size_t kTargetPortOffset = 26;
constexpr std::size_t kTargetOffset = 28;

constexpr std::uint8_t kResetFlag = 2;
constexpr std::uint8_t kSynFlag = 4;
constexpr std::uint8_t kAckFlag = 8;
constexpr std::uint8_t kFinFlag = 64;

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

//! FNV-1a over all bytes but those of the sum and the echo; never 0.
std::uint32_t sumOf(std::span<const std::uint8_t> bytes)
{
    std::uint32_t sum = 0x811c9dc5;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const bool isSum = i >= kSumOffset && i < kSumOffset + 4;
        const bool isEcho = i >= kEchoOffset && i < kEchoOffset + 4;
        sum = isSum || isEcho ? sum : (sum ^ bytes[i]) * 0x01000193;
    }
    return sum | 1U;
}
}

std::vector<std::uint8_t> encodePacket(const Packet &packet)
{
    std::vector<std::uint8_t> bytes(kHeaderBytes + packet.data.size(), 0);
    std::ranges::copy(packet.data, bytes.begin() + kHeaderBytes);
    write(bytes, 0, static_cast<std::uint32_t>(packet.data.size()), 2);
    write(bytes, kSequenceOffset, packet.sequence, 4);
    write(bytes, kAcknowledgedOffset, packet.acknowledged, 4);
    write(bytes, kEchoOffset, packet.echo, 4);
    bytes[kFlagsOffset] = static_cast<std::uint8_t>(
        (packet.isSyn ? kSynFlag : 0) | (packet.isAck ? kAckFlag : 0)
        | (packet.isFin ? kFinFlag : 0) | (packet.isRst ? kResetFlag : 0));
    write(bytes, kSourceOffset, packet.source.address, 4);
    write(bytes, kSourcePortOffset, packet.source.port, 2);
    write(bytes, kTargetPortOffset, packet.target.port, 2);
    write(bytes, kTargetOffset, packet.target.address, 4);
    write(bytes, kSumOffset, sumOf(bytes), 4);
    return bytes;
}

std::optional<Packet> decodePacket(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < kHeaderBytes || bytes.size() != kHeaderBytes + read(bytes, 0, 2)) {
        return std::nullopt;
    }
    const std::uint8_t flags = bytes[kFlagsOffset];
    const std::uint32_t sum = read(bytes, kSumOffset, 4);
    const bool isReset = (flags & kResetFlag) != 0;
    if (sum != sumOf(bytes) && !(isReset && sum == 0)) {
        return std::nullopt;
    }
    return Packet{.source = {read(bytes, kSourceOffset, 4),
                             static_cast<std::uint16_t>(read(bytes, kSourcePortOffset, 2))},
                  .target = {read(bytes, kTargetOffset, 4),
                             static_cast<std::uint16_t>(read(bytes, kTargetPortOffset, 2))},
                  .isSyn = (flags & kSynFlag) != 0,
                  .isAck = (flags & kAckFlag) != 0,
                  .isFin = (flags & kFinFlag) != 0,
                  .isRst = isReset,
                  .sequence = read(bytes, kSequenceOffset, 4),
                  .acknowledged = read(bytes, kAcknowledgedOffset, 4),
                  .echo = read(bytes, kEchoOffset, 4),
                  .data = std::string(bytes.begin() + kHeaderBytes, bytes.end())};
}

std::uint64_t readHostId(std::span<const std::uint8_t> bytes)
{
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < sizeof id; ++i) {
        id = id << 8U | bytes[i];
    }
    return id;
}
}
