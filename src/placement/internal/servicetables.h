#pragma once

#include "placement/types/epochdocument.h"
#include "placement/types/upstreamindex.h"

#include <functional>
#include <vector>

namespace radishladder::placement {

//! The retained tables of one service, merged so that a slot is looked up in one step.
class ServiceTables
{
public:
    using Resolve = std::function<UpstreamIndex(std::uint64_t wireId)>;

    //! Takes \a accepted if it is newer than what is held; true if it did.
    bool accept(const EpochDocument &accepted, const Resolve &resolve);

    //! Looks the upstreams up again, after the configuration has named more of them.
    void resolveAgain(const Resolve &resolve);

    bool isEmpty() const { return this->currents.empty(); }
    const EpochDocument &document() const { return this->held; }
    std::size_t slots() const { return this->currents.size(); }
    std::size_t slotOf(std::uint64_t hash) const
    {
        return (hash >> 32) & (this->currents.size() - 1);
    }

    //! Upstream of new flows: that of the newest active table.
    UpstreamIndex current(std::size_t slot) const { return this->currents[slot]; }

    //! Upstream of flows without record.
    UpstreamIndex oldest(std::size_t slot) const
    {
        return this->oldests.empty() ? this->currents[slot] : this->oldests[slot];
    }

    //! Upstream in the newest table, active or announced.
    UpstreamIndex newest(std::size_t slot) const
    {
        return this->newests.empty() ? this->currents[slot] : this->newests[slot];
    }

    //! True if the retained tables name more than one upstream.
    bool differs(std::size_t slot) const
    {
        return !this->oldests.empty() && this->differences[slot];
    }

    //! True if all VMs know the difference: it does not come from an announced table alone.
    bool differsSettled(std::size_t slot) const
    {
        return !this->oldests.empty() && this->settledDifferences[slot];
    }

private:
    void merge(const Resolve &resolve);

    EpochDocument held;
    std::vector<UpstreamIndex> currents;
    std::vector<UpstreamIndex> oldests;
    std::vector<UpstreamIndex> newests;
    std::vector<bool> differences;
    std::vector<bool> settledDifferences;
};
}
