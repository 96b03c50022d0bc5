#include "placement/upstreamsubset.h"

#include <algorithm>

namespace radishladder::placement {
namespace {
constexpr std::size_t kMinMembers = 8;

//! Each upstream is in the arcs of at least two VMs, so that it gets flows while one of them is
//! paused or lost.
constexpr std::size_t kMinVmsPerUpstream = 2;

//! Mean number of upstreams in an arc, at least, up to rounding.
constexpr std::size_t kMinArcLength = 3;
}

bool UpstreamSubset::isUsedBy(std::size_t memberCount)
{
    return memberCount >= kMinMembers;
}

void UpstreamSubset::update(std::size_t memberIndex, std::size_t memberCount,
                            std::span<const upstreams::UpstreamId> upstreams)
{
    this->memberIndex = memberIndex;
    this->memberCount = memberCount;
    if (std::ranges::equal(this->upstreams, upstreams)) {
        return;
    }
    this->upstreams.assign(upstreams.begin(), upstreams.end());
    this->order.clear();
    for (const upstreams::UpstreamId id : this->upstreams) {
        this->order.push_back(upstreams::flowToken(id));
    }
    std::ranges::sort(this->order);
}

std::size_t UpstreamSubset::vmsPerUpstream() const
{
    if (this->order.size() <= kMinArcLength) {
        return this->memberCount;
    }
    const std::size_t size = this->order.size();
    const std::size_t count = (kMinArcLength * this->memberCount + size / 2) / size;
    return std::clamp(count, kMinVmsPerUpstream, this->memberCount);
}

std::size_t UpstreamSubset::arcStart(std::size_t index) const
{
    return index * this->order.size() / this->memberCount;
}

int UpstreamSubset::ringOf(upstreams::UpstreamId upstream) const
{
    const std::uint32_t hash = upstreams::flowToken(upstream);
    const auto found = std::ranges::lower_bound(this->order, hash);
    if (found == this->order.end() || *found != hash) {
        return 0;
    }
    const std::size_t size = this->order.size();
    const auto position = static_cast<std::size_t>(found - this->order.begin());
    const std::size_t start = this->arcStart(this->memberIndex);
    // An arc ends where that of a later VM starts, so every upstream is in equally many arcs. Arcs
    // of equal lengths left some upstreams with half as many VMs more than others.
    std::size_t length = this->arcStart(this->memberIndex + this->vmsPerUpstream()) - start;
    const std::size_t offset = (position + size - start) % size;
    int ring = 0;
    for (; offset >= length; length *= 2) {
        ++ring;
    }
    return ring;
}
}
