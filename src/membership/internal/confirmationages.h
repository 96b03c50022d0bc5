#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace radishladder::membership {

//! List of VMs with the age of their last confirmation, four bytes each: hash and tenths of
//! seconds.
class ConfirmationAges
{
public:
    struct Entry
    {
        std::uint32_t vmHash = 0;
        std::chrono::milliseconds age{};
    };

    static constexpr std::uint32_t kHashMask = 0xffffff;
    static constexpr std::chrono::milliseconds kLargestAge{25000};

    static std::vector<std::uint8_t> pack(const std::vector<Entry> &entries);
    static std::vector<Entry> unpack(std::span<const std::uint8_t> bytes);
};
}
