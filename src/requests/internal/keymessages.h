#pragma once

#include "net/types/httpanswer.h"
#include "requests/internal/keyid.h"

#include <chrono>
#include <optional>
#include <span>
#include <vector>

namespace radishladder::requests {

//! Claim, reply or record of one key between the two VMs that hold it; each uses the fields it
//! needs.
struct KeyMessage
{
    KeyId id;
    std::uint64_t claim = 0;
    std::uint64_t bodyDigest = 0;

    //! KeyState of a record, KeyVerdict of a reply.
    std::uint8_t state = 0;

    std::chrono::milliseconds timeLeft{0};

    //! The sender would hold any record of the key from the memory's span.
    bool knowsAll = false;

    bool hasAnswer = false;
    net::HttpAnswer answer;
};

std::vector<std::uint8_t> encodeKeyMessage(const KeyMessage &message);

//! std::nullopt if \a bytes hold no message.
std::optional<KeyMessage> decodeKeyMessage(std::span<const std::uint8_t> bytes);
}
