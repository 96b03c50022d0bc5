#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace radishladder::placement {
struct Candidate;

//! Chooses the upstream of a new flow; does no I/O and reads no clock.
class IPlacementPolicy
{
public:
    virtual ~IPlacementPolicy() = default;

    //! Index into \a candidates; std::nullopt if none can take the flow.
    virtual std::optional<std::size_t> choose(std::span<const Candidate> candidates) = 0;

    //! True if no upstream of another data centre would be chosen instead of \a candidate.
    virtual bool suffices(const Candidate &candidate) const = 0;
};
}
