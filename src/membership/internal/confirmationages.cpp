#include "membership/internal/confirmationages.h"

namespace radishladder::membership {
namespace {
constexpr std::size_t kEntryBytes = 4;
constexpr std::chrono::milliseconds kAgeUnit{100};
}

std::vector<std::uint8_t> ConfirmationAges::pack(const std::vector<Entry> &entries)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(entries.size() * kEntryBytes);
    for (const Entry &entry : entries) {
        // Rounded up: an age may be told too old, never too young.
        const auto units = (entry.age + kAgeUnit - std::chrono::milliseconds(1)) / kAgeUnit;
        bytes.push_back(static_cast<std::uint8_t>(entry.vmHash));
        bytes.push_back(static_cast<std::uint8_t>(entry.vmHash >> 8));
        bytes.push_back(static_cast<std::uint8_t>(entry.vmHash >> 16));
        bytes.push_back(static_cast<std::uint8_t>(units));
    }
    return bytes;
}

std::vector<ConfirmationAges::Entry> ConfirmationAges::unpack(std::span<const std::uint8_t> bytes)
{
    std::vector<Entry> entries;
    for (std::size_t i = 0; i + kEntryBytes <= bytes.size(); i += kEntryBytes) {
        const auto hash =
            static_cast<std::uint32_t>(bytes[i] | bytes[i + 1] << 8 | bytes[i + 2] << 16);
        entries.push_back({hash, kAgeUnit * bytes[i + 3]});
    }
    return entries;
}
}
