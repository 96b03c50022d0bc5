#pragma once

#include "flows/internal/flowpacket.h"
#include "flows/internal/recordtable.h"

#include <chrono>

namespace radishladder::placement {
class IPlacement;
}

namespace radishladder::flows {
class FlowPlacer;

//! The records of this VM, their ends, and what the placement has to know about them.
class RecordKeeper
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    RecordKeeper(placement::IPlacement &placement, FlowPlacer &placer, std::size_t capacity);

    void prefetch(std::uint64_t hash) const { this->table.prefetch(hash); }

    //! Record of the flow; nullptr if there is none.
    FlowRecord *find(const FlowPacket &packet);
    FlowRecord *find(std::uint64_t hash) { return this->table.find(hash); }

    //! True if a first packet may start another flow with the same ports.
    bool hasEnded(const FlowRecord &record, FlowTime now) const;

    //! True if nothing more can come of the flow: it finished a while ago or was idle beyond its
    //! service's limit.
    bool isOver(const FlowRecord &record, FlowTime now) const;

    //! New record; nullptr if the table is full of flows that must be kept.
    FlowRecord *add(std::uint64_t hash, placement::UpstreamIndex upstream,
                    placement::UpstreamIndex table, TimePoint now);

    void remove(FlowRecord *record, TimePoint now);

    //! Notes a packet of the flow.
    void touch(FlowRecord &record, const FlowPacket &packet) const;

    std::chrono::seconds idleLimit(const FlowRecord &record) const;

    std::size_t size() const { return this->table.size(); }
    std::size_t slotCount() const { return this->table.slotCount(); }
    FlowRecord &slot(std::size_t index) { return this->table.slot(index); }

private:
    bool makeRoom(TimePoint now);
    bool isDispensable(const FlowRecord &record, FlowTime now) const;

    placement::IPlacement &placement;
    FlowPlacer &placer;
    RecordTable table;
    std::size_t roomCursor = 0;
};
}
