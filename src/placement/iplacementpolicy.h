#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace radishladder::placement {
struct Candidate;

//! Selects the upstream of a new flow; does no I/O and reads no clock.
class IPlacementPolicy
{
public:
    virtual ~IPlacementPolicy() = default;

    //! Returns an index into \a candidates; std::nullopt if no candidate can accept the flow.
    virtual std::optional<std::size_t> choose(std::span<const Candidate> candidates) = 0;

    //! Returns true if no remote upstream would be chosen instead of \a candidate.
    virtual bool isSufficient(const Candidate &candidate) const = 0;
};
}
