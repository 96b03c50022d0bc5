#pragma once

#include "membership/types/member.h"
#include "net/types/httpanswer.h"
#include "requests/internal/keyid.h"
#include "requests/types/requestoptions.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace radishladder::membership {
class IMembership;
class IPeerTransport;
}

namespace radishladder::requests {

//! State of a key on the VMs that answer for it.
enum class KeyState : std::uint8_t {
    Claiming = 0,
    Running = 1,

    //! It ran; the whole answer is at hand if it was small enough to be kept.
    Answered = 2,
    Unknown = 3,
    NotRun = 4,
};

//! What the home of a key decides about a request with it.
enum class KeyVerdict : std::uint8_t {
    Run,
    Answered,
    InProgress,
    Unknown,
    Reused,
    NotRun,
    Full,
};

//! Remembers keys on two VMs each, so that a request runs at most once: the home decides after the
//! second VM has confirmed the claim.
class KeyHome
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Decision = std::function<void(KeyVerdict, const net::HttpAnswer &)>;

    KeyHome(membership::IMembership &membership, membership::IPeerTransport &transport,
            const RequestOptions &options);

    //! The VM that decides about \a id.
    VmName homeOf(const KeyId &id) const;

    //! Decides whether a request with \a id may run; \a decision is called once, now or later.
    void begin(const KeyId &id, std::uint64_t bodyDigest, TimePoint deadline, TimePoint now,
               Decision decision);

    //! The request that begin() let run has ended.
    void finish(const KeyId &id, KeyState state, const net::HttpAnswer &answer, TimePoint now);

    //! Follows the members, repeats claims, forgets what is older than the span.
    void tick(TimePoint now);

    std::size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        KeyState state = KeyState::Running;
        std::uint64_t bodyDigest = 0;
        std::uint64_t claim = 0;
        VmName claimant;
        TimePoint deadline{};
        TimePoint forgetAt{};
        bool hasAnswer = false;
        net::HttpAnswer answer;
    };
    struct Claim
    {
        std::uint64_t number = 0;
        VmName second;
        TimePoint startedAt{};
        TimePoint sentAt{};
        Decision decision;
    };
    struct View
    {
        std::vector<VmName> vms;
        TimePoint since{};
        TimePoint until = TimePoint::max();
    };

    void receiveClaim(const VmName &from, std::span<const std::uint8_t> payload);
    void receiveReply(const VmName &from, std::span<const std::uint8_t> payload);
    void receiveRecord(const VmName &from, std::span<const std::uint8_t> payload);
    KeyVerdict verdictFor(const Record &record, std::uint64_t bodyDigest) const;
    KeyVerdict acceptClaim(const VmName &from, const KeyId &id, const Record &offered);
    void sendClaim(const KeyId &id, Claim &claim);
    void settle(const KeyId &id, KeyVerdict verdict, const net::HttpAnswer &answer);
    bool knowsAll(const KeyId &id) const;
    void followMembers(TimePoint now);
    void repeatClaims(TimePoint now);
    void forget(TimePoint now);

    membership::IMembership &membership;
    membership::IPeerTransport &transport;
    RequestOptions options;
    std::map<KeyId, Record> records;
    std::map<KeyId, Claim> claims;
    std::deque<View> views;
    std::uint64_t lastClaim = 0;
    std::optional<TimePoint> lastTick;
    TimePoint currentTime{};
};

//! The first two of \a vms by rendezvous rank for \a id; fewer if there are fewer.
std::vector<VmName> keepersOf(const KeyId &id, const std::vector<VmName> &vms);
}
