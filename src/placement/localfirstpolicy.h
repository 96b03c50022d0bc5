#pragma once

#include "placement/iplacementpolicy.h"

namespace radishladder {
class IRandom;
}

namespace radishladder::placement {

//! Selects the least loaded upstream of the preferred ones in the own data centre, of further local
//! ones while those have no free slot, and remote upstreams only when the local ones are full, gone
//! or silent.
class LocalFirstPolicy : public IPlacementPolicy
{
public:
    explicit LocalFirstPolicy(IRandom &random);

    std::optional<std::size_t> choose(std::span<const Candidate> candidates) override;
    bool isSufficient(const Candidate &candidate) const override;

private:
    //! Returns the index of the candidate that \a filter accepts with the least load, weighted by
    //! how slowly it responds; ties are broken at random.
    template <typename Filter>
    std::optional<std::size_t> findLeastLoaded(std::span<const Candidate> candidates,
                                               Filter filter);
    //! Returns the index of a usable candidate in the own data centre or in another one, from the
    //! preferred arcs if those have free slots.
    std::optional<std::size_t> findByRing(std::span<const Candidate> candidates, bool isLocal);

    IRandom &random;
};
}
