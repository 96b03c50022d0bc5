#pragma once

#include "global/iclock.h"
#include "membership/imembership.h"
#include "upstreams/internal/shareledger.h"
#include "upstreams/internal/upstreamentry.h"

namespace radishladder::upstreams {
//! Longest time by which a VM's copy of the platform's list may lag.
inline constexpr std::chrono::milliseconds kListLag{10000};
inline constexpr std::chrono::milliseconds kDefaultLongestRequest{10000};

//! A VM that was paused for longer may hold an outdated list.
inline constexpr std::chrono::milliseconds kLongestPause{2000};

//! Key of the fact that carries the digest of \a upstream.
std::string digestKey(const UpstreamName &upstream);

//! What Upstreams keeps besides its interface.
struct Upstreams::State
{
    State(membership::IMembership &membership, membership::ISharedFacts &facts,
          telemetry::ITimeLine &timeLine, const IClock &clock)
        : membership(membership), facts(facts), timeLine(timeLine), clock(clock),
          ledger(membership.self(), 2 * kListLag + kDefaultLongestRequest)
    { }

    membership::IMembership &membership;
    membership::ISharedFacts &facts;
    telemetry::ITimeLine &timeLine;
    const IClock &clock;
    ShareLedger ledger;
    VmList serving;
    std::map<UpstreamName, Entry> entries;
    std::vector<Subscriber> subscribers;
    std::optional<TimePoint> lastTick;
    std::optional<std::uint64_t> statedList;

    //! This VM is stopping and has stated that it uses no slot any more.
    bool released = false;
    bool wasResting = false;

    bool wasPaused(TimePoint now) const
    {
        return !this->lastTick || now - *this->lastTick > kLongestPause;
    }
};

}
