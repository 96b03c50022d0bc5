#include "flows/sharedflows.h"

#include "flows/sharedflowcodec.h"
#include "flows/types/flowpacket.h"
#include "flows/types/sharedflowdatagram.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace radishladder::flows {
namespace {
using std::chrono::milliseconds;

//! Delay of the first announcement, so that flows that open together share a datagram. Far shorter
//! than the time until a client retransmits.
constexpr milliseconds kFirstDelay{10};

//! Delay of the first announcement of a SYN after its transmission. Most flows open sooner and need
//! none; clients retransmit after 200 ms.
constexpr milliseconds kOpeningDelay{60};

//! Times between the announcements of one flow; the last one repeats. Datagrams may be lost.
constexpr std::array kRepeatDelays{milliseconds(80), milliseconds(500), milliseconds(2000)};

//! A client does not open a flow any more that has not opened within this time.
constexpr milliseconds kMaxOpeningTime{3000};

//! Sequence numbers of a flow stay within this many bytes of its SYN.
constexpr std::uint32_t kMaxFlowBytes = 1U << 28U;

bool isSameFlow(const SharedFlow &flow, const FlowPacket &packet)
{
    const std::uint32_t distance = packet.sequence - flow.initialSequence;
    return packet.isSyn ? distance == 0 : distance <= kMaxFlowBytes;
}
}

SharedFlows::SharedFlows(std::size_t capacity) : capacity(capacity) { }

SharedFlows::~SharedFlows() = default;

SharedFlows::Entry *SharedFlows::findOrCreate(const FlowKey &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end()) {
        return &found->second;
    }
    if (this->entries.size() >= this->capacity) {
        ++this->dropped;
        return nullptr;
    }
    return &this->entries[key];
}

void SharedFlows::wakeAt(TimePoint time)
{
    if (this->due && *this->due <= time) {
        return;
    }
    this->due = time;
    if (this->wakeHandler) {
        this->wakeHandler();
    }
}

void SharedFlows::announce(const FlowKey &key, const SharedFlow &flow, TimePoint now)
{
    Entry *entry = this->findOrCreate(key);
    if (entry == nullptr) {
        return;
    }
    entry->flow = flow;
    entry->updatedAt = now;
    entry->announcements = 0;
    entry->nextAnnouncement = flow.isOpen
        ? now + kFirstDelay
        : std::max(now + kFirstDelay, flow.openingSince + kOpeningDelay);
    this->wakeAt(*entry->nextAnnouncement);
}

const SharedFlow *SharedFlows::find(const FlowPacket &packet) const
{
    if (this->entries.empty()) {
        return nullptr;
    }
    const auto found = this->entries.find(packet.flow);
    const bool isKnown = found != this->entries.end() && isSameFlow(found->second.flow, packet);
    return isKnown ? &found->second.flow : nullptr;
}

std::size_t SharedFlows::nextDatagram(std::span<std::uint8_t> out, TimePoint now)
{
    if (!this->due || now < *this->due) {
        return 0;
    }
    SharedFlowDatagram datagram;
    this->due.reset();
    for (auto &[key, entry] : this->entries) {
        if (!entry.nextAnnouncement) {
            continue;
        }
        const bool isDue = *entry.nextAnnouncement <= now;
        if (isDue && datagram.flows.size() < kMaxFlowsPerDatagram) {
            datagram.flows.emplace_back(key, entry.flow);
            const std::size_t step = std::min(entry.announcements++, kRepeatDelays.size() - 1);
            entry.nextAnnouncement = now + kRepeatDelays.at(step);
        }
        this->due = std::min(this->due.value_or(*entry.nextAnnouncement), *entry.nextAnnouncement);
    }
    return datagram.flows.empty() ? 0 : encodeSharedFlows(datagram, now, out);
}

std::size_t SharedFlows::request(std::span<std::uint8_t> out, TimePoint now)
{
    return encodeSharedFlows({.isRequest = true}, now, out);
}

bool SharedFlows::receive(std::span<const std::uint8_t> bytes, TimePoint now,
                          const std::function<void(std::span<const std::uint8_t>)> &respond)
{
    const auto datagram = decodeSharedFlows(bytes, now);
    if (!datagram) {
        return false;
    }
    for (const auto &[key, flow] : datagram->flows) {
        this->store(key, flow, now);
    }
    if (!datagram->isRequest) {
        return true;
    }
    std::array<std::uint8_t, kMaxSharedFlowBytes> out;
    SharedFlowDatagram response;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        response.flows.emplace_back(entry->first, entry->second.flow);
        ++entry;
        if (response.flows.size() == kMaxFlowsPerDatagram || entry == this->entries.end()) {
            respond(std::span(out).first(encodeSharedFlows(response, now, out)));
            response.flows.clear();
        }
    }
    return true;
}

bool SharedFlows::replaces(const SharedFlow &flow, const Entry &known)
{
    const bool isNew = known.updatedAt == TimePoint();
    if (isNew || known.flow.initialSequence != flow.initialSequence) {
        return true;
    }
    if (known.flow.isOpen != flow.isOpen) {
        return flow.isOpen;
    }
    // This VM has seen itself what it announces.
    return !known.nextAnnouncement;
}

void SharedFlows::store(const FlowKey &key, const SharedFlow &flow, TimePoint now)
{
    Entry *entry = this->findOrCreate(key);
    if (entry != nullptr && replaces(flow, *entry)) {
        *entry = {.flow = flow, .updatedAt = now};
    }
}

void SharedFlows::sweep(TimePoint now, std::chrono::milliseconds retention,
                        const std::function<bool(const FlowKey &)> &isOpenHere)
{
    for (auto item = this->entries.begin(); item != this->entries.end();) {
        Entry &entry = item->second;
        if (entry.flow.isOpen && entry.nextAnnouncement) {
            if (isOpenHere(item->first)) {
                entry.updatedAt = now;
            } else {
                entry.nextAnnouncement.reset();
            }
        }
        const bool isExpired = entry.flow.isOpen ? now - entry.updatedAt > retention
                                                 : now - entry.flow.openingSince > kMaxOpeningTime;
        item = isExpired ? this->entries.erase(item) : std::next(item);
    }
}
}
