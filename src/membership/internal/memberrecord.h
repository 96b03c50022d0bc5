#pragma once

#include "membership/internal/progresslog.h"
#include "membership/types/member.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace radishladder::membership {

//! A member and what only the membership itself needs to know of it.
struct MemberRecord
{
    using TimePoint = std::chrono::steady_clock::time_point;

    //! An answer that counts as confirmation once everything its sender knew is known here.
    struct PendingAnswer
    {
        TimePoint sentAt{};
        std::int64_t documentRevision = 0;
        std::vector<std::uint8_t> confirmations;
    };

    Member member;
    std::uint32_t hash = 0;
    bool isListed = false;
    bool hasAddress = false;
    TimePoint knownSince{};

    std::optional<TimePoint> suspectSince;

    //! A majority of such times within the freshness bound makes this VM confident.
    std::optional<TimePoint> confirmedAt;
    std::optional<PendingAnswer> pending;
    ProgressLog documents;
};
}
