#include "membership/internal/factdigest.h"

namespace radishladder::membership {
namespace {
constexpr std::size_t kNumberBytes = 4;
constexpr std::size_t kDigestBytes = 3 * kNumberBytes;

void putNumber(std::vector<std::uint8_t> &bytes, std::uint32_t number)
{
    for (std::size_t i = 0; i < kNumberBytes; ++i) {
        bytes.push_back(static_cast<std::uint8_t>(number >> (8 * i)));
    }
}

std::uint32_t readNumber(std::span<const std::uint8_t> bytes)
{
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < kNumberBytes; ++i) {
        number |= static_cast<std::uint32_t>(bytes[i]) << (8 * i);
    }
    return number;
}
}

std::vector<std::uint8_t> packDigests(const std::vector<FactDigest> &digests)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(digests.size() * kDigestBytes);
    for (const FactDigest &digest : digests) {
        putNumber(bytes, digest.originHash);
        putNumber(bytes, digest.start);
        putNumber(bytes, digest.version);
    }
    return bytes;
}

std::vector<FactDigest> unpackDigests(std::span<const std::uint8_t> bytes)
{
    std::vector<FactDigest> digests;
    for (; bytes.size() >= kDigestBytes; bytes = bytes.subspan(kDigestBytes)) {
        digests.push_back({readNumber(bytes), readNumber(bytes.subspan(kNumberBytes)),
                           readNumber(bytes.subspan(2 * kNumberBytes))});
    }
    return digests;
}
}
