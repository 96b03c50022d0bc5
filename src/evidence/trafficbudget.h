#pragma once

#include <chrono>
#include <cstddef>

namespace radishladder::evidence {

//! Bounds the bytes of datagrams between the VMs of a data centre. Every VM counts the datagrams
//! that it receives and sends, so all VMs have nearly the same figure.
//!
//! Load pattern: overload, in which many flows on all upstreams wait for longer than 200 ms.
//! Without a common bound each VM would report each upstream.
class TrafficBudget
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Counts a datagram of \a bytes.
    void add(std::size_t bytes, TimePoint now);

    //! Returns true if a report of silence may be sent.
    bool allowsReport(TimePoint now) const;

    //! Returns true if a report of a response may be sent. Responses have a larger budget: without
    //! them the silence reported by others would end placements on upstreams that respond.
    bool allowsRefutation(TimePoint now) const;

private:
    double levelAt(TimePoint now) const;

    double level = 0;
    TimePoint updatedAt;
};
}
