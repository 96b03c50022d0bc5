#pragma once

#include "flows/types/flowkey.h"
#include "flows/types/sharedflow.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>

namespace radishladder::flows {
struct FlowPacket;

//! Flows whose packets alone don't show their upstream to every VM, as the VMs of a data centre
//! share them; does no I/O and reads no clock.
//!
//! A VM announces such a flow at once and again while its client may still send the token of
//! another upstream. The receivers forward by it, and send what they know to VMs that start.
class SharedFlows
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Stores at most \a capacity flows; further ones are counted and dropped.
    explicit SharedFlows(std::size_t capacity);
    ~SharedFlows();

    //! Sets the function that is called when nextDue() has become earlier.
    void setWakeHandler(std::function<void()> handler) { this->wakeHandler = std::move(handler); }

    //! Stores \a flow as this VM's own knowledge and announces it.
    void announce(const FlowKey &key, const SharedFlow &flow, TimePoint now);

    //! Forgets a flow that has ended or whose client sends the token of its upstream from now on.
    void forget(const FlowKey &key) { this->entries.erase(key); }

    //! Returns the flow to which \a packet belongs; null if nothing is known of it.
    const SharedFlow *find(const FlowPacket &packet) const;

    //! Returns when the next datagram is due; std::nullopt if none is.
    std::optional<TimePoint> nextDue() const { return this->due; }

    //! Writes the next datagram that is due for all peers to \a out, which must hold
    //! kMaxSharedFlowBytes; returns its size, or 0 if none is due.
    std::size_t nextDatagram(std::span<std::uint8_t> out, TimePoint now);

    //! Writes the request for the flows that others know to \a out; returns its size.
    static std::size_t request(std::span<std::uint8_t> out, TimePoint now);

    //! Stores the flows in a datagram of a peer. If the peer requests what this VM knows,
    //! \a respond is called with each datagram of the response. Returns false if \a bytes are no
    //! valid datagram.
    bool receive(std::span<const std::uint8_t> bytes, TimePoint now,
                 const std::function<void(std::span<const std::uint8_t>)> &respond);

    //! Erases flows of which nothing was received for \a retention, and SYNs that their clients
    //! have stopped sending. Own flows stay, and are announced, while \a isOpenHere returns true.
    void sweep(TimePoint now, std::chrono::milliseconds retention,
               const std::function<bool(const FlowKey &)> &isOpenHere);

    std::size_t size() const { return this->entries.size(); }

    //! Number of flows that were not stored because the list was full.
    std::uint64_t droppedCount() const { return this->dropped; }

private:
    struct Entry
    {
        SharedFlow flow;

        //! When this VM last received or announced the flow.
        TimePoint updatedAt;

        //! Set while this VM announces the flow.
        std::optional<TimePoint> nextAnnouncement;
        std::size_t announcements = 0;
    };

    //! Returns null if the list is full.
    Entry *findOrCreate(const FlowKey &key);
    void wakeAt(TimePoint time);
    void store(const FlowKey &key, const SharedFlow &flow, TimePoint now);
    //! Returns true if the received \a flow is newer or better knowledge than \a known.
    static bool replaces(const SharedFlow &flow, const Entry &known);

    std::size_t capacity;
    std::uint64_t dropped = 0;
    std::unordered_map<FlowKey, Entry> entries;
    std::optional<TimePoint> due;
    std::function<void()> wakeHandler;
};
}
