#include "flows/internal/recordkeeper.h"

#include "flows/internal/flowplacer.h"
#include "placement/iplacement.h"
#include "settings/types/service.h"

namespace radishladder::flows {
namespace {
//! The caller still acknowledges what the upstream sends after the caller's FIN.
constexpr std::chrono::seconds kAfterFinish{60};
constexpr std::chrono::seconds kAfterReset{5};
constexpr std::size_t kRoomProbes = 64;
}

RecordKeeper::RecordKeeper(placement::IPlacement &placement, FlowPlacer &placer,
                           std::size_t capacity)
    : placement(placement), placer(placer), table(capacity)
{ }

FlowRecord *RecordKeeper::find(const FlowPacket &packet)
{
    FlowRecord *record = this->table.find(packet.hash);
    // Two flows with one hash may share a record, but never across services.
    const bool fits =
        record != nullptr && this->placement.upstream(record->upstream).service == packet.service;
    return fits ? record : nullptr;
}

std::chrono::seconds RecordKeeper::idleLimit(const FlowRecord &record) const
{
    const placement::ServiceIndex service = this->placement.upstream(record.upstream).service;
    return this->placement.description(service).idleLimit;
}

bool RecordKeeper::hasEnded(const FlowRecord &record, FlowTime now) const
{
    return record.has(FlowRecord::Finished) || record.has(FlowRecord::Reset)
        || this->isOver(record, now);
}

bool RecordKeeper::isOver(const FlowRecord &record, FlowTime now) const
{
    const std::chrono::milliseconds idle = flowAge(now, record.lastUsed);
    if (record.has(FlowRecord::Reset)) {
        return idle > kAfterReset;
    }
    if (record.has(FlowRecord::Finished)) {
        return idle > kAfterFinish;
    }
    const std::chrono::seconds limit = this->idleLimit(record);
    // The home refreshes a replica only at every third of the limit.
    return idle > (record.has(FlowRecord::Replica) ? limit + limit / 2 : limit);
}

FlowRecord *RecordKeeper::add(std::uint64_t hash, placement::UpstreamIndex upstream,
                              placement::UpstreamIndex table, TimePoint now)
{
    if (FlowRecord *old = this->table.find(hash)) {
        this->remove(old, now);
    }
    if (this->table.isFull() && !this->makeRoom(now)) {
        return nullptr;
    }
    FlowRecord *record = this->table.insert(hash);
    record->upstream = upstream;
    record->placedAt = toFlowTime(now);
    record->lastUsed = record->placedAt;
    record->flags = upstream == table ? 0 : FlowRecord::OffTable;
    this->placement.recordAdded(this->placement.upstream(upstream).service, hash, upstream);
    return record;
}

void RecordKeeper::remove(FlowRecord *record, TimePoint now)
{
    const placement::ServiceIndex service = this->placement.upstream(record->upstream).service;
    this->placement.recordRemoved(service, record->hash, record->upstream);
    if (record->has(FlowRecord::Admitted)) {
        this->placer.release(record->upstream, now);
    }
    this->table.erase(record);
}

void RecordKeeper::touch(FlowRecord &record, const FlowPacket &packet) const
{
    record.lastUsed = packet.time;
    if (!packet.info.opens) {
        record.flags &= static_cast<std::uint8_t>(~FlowRecord::Opening);
    }
    if (packet.info.finishes) {
        record.flags |= FlowRecord::Finished;
    }
    if (packet.info.resets) {
        record.flags |= FlowRecord::Reset;
    }
}

bool RecordKeeper::makeRoom(TimePoint now)
{
    for (std::size_t i = 0; i < kRoomProbes; ++i) {
        this->roomCursor = (this->roomCursor + 1) % this->table.slotCount();
        FlowRecord &record = this->table.slot(this->roomCursor);
        if (!record.isEmpty() && this->isDispensable(record, toFlowTime(now))) {
            this->remove(&record, now);
            return true;
        }
    }
    return false;
}

bool RecordKeeper::isDispensable(const FlowRecord &record, FlowTime now) const
{
    if (this->isOver(record, now)) {
        return true;
    }
    // Without its record the flow is taken for one of the oldest table, which is where it is.
    const placement::ServiceIndex service = this->placement.upstream(record.upstream).service;
    return this->placement.view(service, record.hash).oldest == record.upstream;
}
}
