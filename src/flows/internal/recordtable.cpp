#include "flows/internal/recordtable.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
constexpr std::size_t kFirstSlots = 64;
}

RecordTable::RecordTable(std::size_t capacity) : capacity(capacity), slots(kFirstSlots) { }

std::size_t RecordTable::homeSlot(std::uint64_t hash) const
{
    // Scales the upper half of the hash to the table, so that the size need not be a power of two.
    return static_cast<std::size_t>(((hash >> 32) * this->slots.size()) >> 32);
}

std::size_t RecordTable::next(std::size_t index) const
{
    return index + 1 == this->slots.size() ? 0 : index + 1;
}

FlowRecord *RecordTable::probe(std::uint64_t hash)
{
    std::size_t index = this->homeSlot(hash);
    while (!this->slots[index].isEmpty() && this->slots[index].hash != hash) {
        index = this->next(index);
    }
    return &this->slots[index];
}

FlowRecord *RecordTable::find(std::uint64_t hash)
{
    FlowRecord *record = this->probe(hash);
    return record->isEmpty() ? nullptr : record;
}

FlowRecord *RecordTable::insert(std::uint64_t hash)
{
    if (this->isFull()) {
        return nullptr;
    }
    if ((this->used + 1) * 5 > this->slots.size() * 4) {
        this->grow();
    }
    FlowRecord *record = this->probe(hash);
    record->hash = hash;
    ++this->used;
    return record;
}

void RecordTable::erase(FlowRecord *record)
{
    --this->used;
    std::size_t gap = static_cast<std::size_t>(record - this->slots.data());
    const std::size_t count = this->slots.size();
    for (std::size_t i = this->next(gap); !this->slots[i].isEmpty(); i = this->next(i)) {
        const std::size_t wanted = this->homeSlot(this->slots[i].hash);
        // Moves only records whose probe sequence passes the gap.
        if ((i + count - wanted) % count >= (i + count - gap) % count) {
            this->slots[gap] = this->slots[i];
            gap = i;
        }
    }
    this->slots[gap] = FlowRecord{};
}

void RecordTable::grow()
{
    Slots old = std::move(this->slots);
    this->slots.assign(old.size() + old.size() / 2, FlowRecord{});
    for (const FlowRecord &record : old) {
        if (!record.isEmpty()) {
            *this->probe(record.hash) = record;
        }
    }
}
}
