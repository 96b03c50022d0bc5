#pragma once

#include "placement/types/slotview.h"
#include "placement/types/upstreamentry.h"

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace radishladder::settings {
struct Service;
}

namespace radishladder::placement {

//! Where flows belong, as all VMs agree on it. Lookups allocate nothing.
class IPlacement
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~IPlacement() = default;

    //! Service behind \a address; std::nullopt if there is none.
    virtual std::optional<ServiceIndex> service(const net::Endpoint &address,
                                                std::uint8_t protocol) const = 0;

    virtual const settings::Service &description(ServiceIndex service) const = 0;

    //! What the tables say about the slot of a flow with \a hash.
    virtual SlotView view(ServiceIndex service, std::uint64_t hash) const = 0;

    //! Key under which IMembership::ranked() gives the flow's home (first) and backup (second).
    virtual std::uint64_t homeKey(ServiceIndex service, std::uint64_t hash) const = 0;

    virtual const UpstreamEntry &upstream(UpstreamIndex index) const = 0;

    //! Local number of the upstream that other VMs call \a wireId.
    virtual std::optional<UpstreamIndex> findWireId(std::uint64_t wireId) const = 0;

    //! Upstreams for a new flow that cannot go to its table's, best first; \a result is
    //! overwritten.
    virtual void alternatives(ServiceIndex service, std::uint64_t hash,
                              std::vector<UpstreamIndex> &result) const = 0;

    //! A flow without record was forwarded by the oldest table of a contested slot.
    virtual void noteOldestUsed(ServiceIndex service, TimePoint now) = 0;

    //! This VM holds one more or one less record (as home or backup) that a flow with \a hash is on
    //! \a upstream. A slot with a record off its table stays contested on every VM.
    virtual void recordAdded(ServiceIndex service, std::uint64_t hash, UpstreamIndex upstream) = 0;
    virtual void recordRemoved(ServiceIndex service, std::uint64_t hash,
                               UpstreamIndex upstream) = 0;
};
}
