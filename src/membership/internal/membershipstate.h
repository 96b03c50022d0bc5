#pragma once

#include "membership/iheartbeatextension.h"
#include "membership/internal/heartbeat.h"
#include "membership/internal/membertable.h"
#include "membership/internal/probelist.h"
#include "membership/internal/updatequeue.h"
#include "membership/ipeertransport.h"
#include "membership/membership.h"
#include "membership/types/listedvm.h"

#include <optional>
#include <set>

namespace radishladder::telemetry {
class ICounter;
}

namespace radishladder::membership {

//! What Membership keeps, and how it handles messages and time.
struct Membership::State
{
    //! Data centres whose VMs get no duties.
    std::set<DataCentreName> dataCentresOut;

    State(const Member &self, IPeerTransport &transport, IRandom &random, const IClock &clock,
          telemetry::ITimeLine &timeLine, telemetry::IMetrics &metrics);

    IPeerTransport &transport;
    const IClock &clock;
    telemetry::ITimeLine &timeLine;
    telemetry::ICounter &malformed;
    MemberTable table;
    ProbeList probes;
    UpdateQueue updates;
    IHeartbeatExtension *extension = nullptr;
    AddressUser addressUser;
    bool isListKnown = false;
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> lastHeartbeat;
    TimePoint wokenAt{};

    //! VMs whose last answer is not a confirmation yet.
    std::set<VmName> pendingNames;

    MemberRecord &own() { return *this->table.find(this->table.self()); }

    // Sending.
    Heartbeat ownHeartbeat(const VmName &to, std::uint64_t sequence, bool isAnswer);
    std::vector<std::uint8_t> packConfirmations();
    void send(const VmName &to, MessageKind kind, const Heartbeat &heartbeat);
    void probe(const VmName &target, ProbeList::Probe probe);
    void probeNext(TimePoint now);
    void probeThroughOthers(std::uint64_t sequence, const VmName &target);
    void sendListSample(const VmName &to);
    void spread(const MemberRecord &record);

    // Receiving.
    std::optional<Heartbeat> receive(const VmName &from, std::span<const std::uint8_t> bytes);
    void receiveHeartbeat(const VmName &from, std::span<const std::uint8_t> bytes);
    void receiveAnswer(const VmName &from, std::span<const std::uint8_t> bytes);
    void receiveListSample(std::span<const std::uint8_t> bytes);
    bool noteSender(const VmName &from, const Heartbeat &heartbeat);
    void noteUpdate(const StateUpdate &update);
    void refute(std::uint64_t incarnation);

    // Time.
    void tick();
    void noteGap(TimePoint now);
    void checkProbes(TimePoint now);
    void checkSuspects(TimePoint now);
    void suspect(MemberRecord &record, TimePoint now);
    void probeSuspects(TimePoint now);
    void settle(MemberRecord &record);
    void settlePending();
    void confirm(MemberRecord &record, TimePoint at);
    void passAddresses();
    int spreadTimes() const;
};
}
