#pragma once

#include "placement/iplacementpolicy.h"

namespace radishladder {
class IRandom;
}

namespace radishladder::placement {

//! Least loaded upstream of the own data centre; other data centres only when the own one is full,
//! gone or silent.
class LocalFirstPolicy : public IPlacementPolicy
{
public:
    explicit LocalFirstPolicy(IRandom &random);

    std::optional<std::size_t> choose(std::span<const Candidate> candidates) override;
    bool suffices(const Candidate &candidate) const override;

private:
    template <typename Filter>
    std::optional<std::size_t> leastLoaded(std::span<const Candidate> candidates, Filter filter);

    IRandom &random;
};
}
