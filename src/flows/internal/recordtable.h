#pragma once

#include "flows/internal/flowrecord.h"
#include "flows/internal/hugepageallocator.h"

#include <vector>

namespace radishladder::flows {

//! Records by flow hash, in one array with linear probing that grows up to a limit.
class RecordTable
{
public:
    explicit RecordTable(std::size_t capacity);

    //! Starts to load the place of a flow's record.
    void prefetch(std::uint64_t hash) const
    {
        __builtin_prefetch(&this->slots[this->homeSlot(hash)], 1);
    }

    FlowRecord *find(std::uint64_t hash);

    //! Empty record for a \a hash that is not in the table; nullptr if the table is full. The
    //! caller sets its upstream; pointers to other records end here.
    FlowRecord *insert(std::uint64_t hash);

    //! Removes \a record; later records may move to its place.
    void erase(FlowRecord *record);

    bool isFull() const { return this->used >= this->capacity; }
    std::size_t size() const { return this->used; }
    std::size_t slotCount() const { return this->slots.size(); }
    FlowRecord &slot(std::size_t index) { return this->slots[index]; }

private:
    using Slots = std::vector<FlowRecord, HugePageAllocator<FlowRecord>>;

    std::size_t homeSlot(std::uint64_t hash) const;
    std::size_t next(std::size_t index) const;
    FlowRecord *probe(std::uint64_t hash);
    void grow();

    std::size_t capacity;
    std::size_t used = 0;
    Slots slots;
};
}
