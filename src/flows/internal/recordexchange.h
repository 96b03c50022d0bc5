#pragma once

#include "flows/internal/recordcodec.h"
#include "flows/internal/recordsender.h"
#include "flows/types/flowoptions.h"
#include "global/name.h"

#include <chrono>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IPeerTransport;
}
namespace radishladder::placement {
class IPlacement;
}

namespace radishladder::flows {
class FlowCache;
class HomeDirectory;
class RecordKeeper;
struct HomeView;

//! Keeps records where they are needed: at the home and the backup of their flows.
class RecordExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    RecordExchange(membership::IPeerTransport &transport, const placement::IPlacement &placement,
                   HomeDirectory &homes, RecordKeeper &keeper, FlowCache &cache,
                   const IClock &clock, const FlowOptions &options);

    //! Sends the record of the flow with the next tick.
    void sendSoon(std::uint64_t hash) { this->urgent.push_back(hash); }

    //! The flow's port was reused and the flow placed anew: tells the caches of the other VMs.
    void correctCaches(std::uint64_t hash, placement::UpstreamIndex upstream);

    //! Expires records and sends those that are due.
    void tick(TimePoint now);

    //! From now on every record is handed over, whatever it costs.
    void beginHandOver(TimePoint now);

    //! \a peer was told that it has all records that it is home of: none may be added for it since.
    bool hasServed(PeerId peer) const { return this->served.contains(peer); }

    //! All records that other VMs need are there.
    bool isHandedOver() const;

    std::uint64_t sentBytes() const { return this->sender.sentBytes(); }

private:
    void receiveRecords(PeerId from, std::span<const std::uint8_t> payload);
    void receivePull(PeerId from, std::span<const std::uint8_t> payload);
    void receiveHints(std::span<const std::uint8_t> payload);
    bool store(PeerId from, const SentRecord &sent);
    void forget(FlowRecord *record, PeerId from);
    void sweep(TimePoint now);
    void finishPass();
    void visit(FlowRecord &record, TimePoint now);
    void expire(FlowRecord &record, TimePoint now);
    bool isDue(const FlowRecord &record, const HomeView &home, PeerId target, TimePoint now) const;
    void sendUrgent(TimePoint now);
    void resendLost(TimePoint now);
    bool sendRecord(FlowRecord &record, PeerId target, bool ended, TimePoint now);
    void sendPulls(TimePoint now);
    void sendPull(PeerId to, PullMessage message);
    const HomeView &homeOf(const FlowRecord &record, TimePoint now) const;
    PeerId targetOf(const FlowRecord &record, const HomeView &home) const;

    membership::IPeerTransport &transport;
    const placement::IPlacement &placement;
    HomeDirectory &homes;
    RecordKeeper &keeper;
    FlowCache &cache;
    const IClock &clock;
    FlowOptions options;
    RecordCodec codec;
    RecordSender sender;
    std::vector<std::uint64_t> urgent;
    std::size_t cursor = 0;
    std::size_t passSlots = 0;
    std::uint64_t pass = 1;

    //! VMs for which the current pass found records that they do not have.
    std::set<PeerId> missing;

    //! Pass at which each VM asked for its records.
    std::map<PeerId, std::uint64_t> pulls;

    //! VMs that were told that they have everything and have not asked again since.
    std::set<PeerId> served;
    std::map<PeerId, TimePoint> pulledAt;
    bool handingOver = false;
    bool handedOver = false;
    std::uint64_t handOverPass = 0;
};
}
