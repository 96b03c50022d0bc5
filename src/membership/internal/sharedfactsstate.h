#pragma once

#include "membership/internal/factdigest.h"
#include "membership/internal/factlog.h"
#include "membership/internal/progresslog.h"
#include "membership/ipeertransport.h"
#include "membership/membership.h"
#include "membership/sharedfacts.h"

#include <map>

namespace radishladder::telemetry {
class ICounter;
}

namespace radishladder::membership {

//! What SharedFacts keeps, and how it spreads it.
struct SharedFacts::State
{
    using TimePoint = std::chrono::steady_clock::time_point;

    //! What is known of another VM's knowledge.
    struct Peer
    {
        std::uint64_t start = 0;
        bool differs = false;
        bool isCaughtUp = false;
        bool isTargetWhole = false;
        std::vector<FactDigest> target;
        ProgressLog acknowledged;
        std::uint64_t acknowledgedVersion = 0;
        std::optional<TimePoint> pushedAt;
    };

    //! Facts of one VM that still travel with heartbeats.
    struct Rumour
    {
        std::uint64_t after = 0;
        int remaining = 0;
    };

    State(Membership &membership, IPeerTransport &transport, const IClock &clock,
          telemetry::IMetrics &metrics);

    Membership &membership;
    IPeerTransport &transport;
    const IClock &clock;
    telemetry::ICounter &malformed;
    telemetry::ICounter &tooLarge;
    std::map<VmName, FactLog> logs;
    std::map<VmName, Peer> peers;
    std::map<VmName, Rumour> rumours;
    std::vector<Subscriber> subscribers;
    std::uint32_t summary = 0;

    //! Names behind the hashes in digests; empty where two names share one.
    std::map<std::uint32_t, VmName> namesByHash;
    std::size_t nextDigest = 0;
    std::size_t vmCountSeen = 0;
    bool isPushPending = false;
    double pushBytes = 0;
    double rumourBytes = 0;
    std::optional<TimePoint> lastTick;

    FactLog &own() { return this->logs[this->membership.self()]; }
    Peer &peer(const VmName &name);
    void change(const std::string &key, const std::optional<Value> &value);
    void notify(const VmName &origin, const std::string &key, const std::optional<Value> &value);
    void toggleSummary(const VmName &origin, const FactLog &log);
    void startRumour(const VmName &origin, std::uint64_t after);

    // Receiving.
    std::optional<FactsMessage> decode(const VmName &from, std::span<const std::uint8_t> bytes);
    void apply(const FactDelta &delta);
    void receiveFacts(const VmName &from, std::span<const std::uint8_t> bytes);
    void reconcile(const VmName &with, const std::vector<FactDigest> &theirs, bool isWhole);
    bool covers(const FactDigest &digest) const;
    FactDigest digestOf(const VmName &origin, const FactLog &log) const;
    const VmName *originOf(const FactDigest &digest) const;

    // Sending.
    FactsMessage message(const VmName &to);
    std::vector<FactDelta> ownDelta(const VmName &to, std::size_t maxBytes);
    std::vector<FactDelta> takeRumours(std::size_t maxBytes);
    std::vector<FactDigest> digests(bool &isWhole);
    void addDelta(FactsMessage &message, std::size_t &room, const VmName &origin,
                  std::uint64_t after) const;
    std::size_t send(const VmName &to, const FactsMessage &message);
    void push(TimePoint now);
    void forgetGone();
    void indexNames();
};
}
