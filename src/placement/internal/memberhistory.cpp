#include "placement/memberhistory.h"

namespace radishladder::placement {
namespace {
//! Longest time for which the member lists of two VMs differ: a relay serves lists that are up to
//! 6 s old, and VMs request them every 2.5 s.
constexpr std::chrono::milliseconds kMaxListDifference{8500};
}

void MemberHistory::update(const std::vector<VmName> &members, TimePoint now)
{
    std::erase_if(this->leftAt,
                  [now](const auto &member) { return now - member.second >= kMaxListDifference; });
    if (members == this->current) {
        return;
    }
    for (const VmName &member : this->current) {
        this->leftAt.insert_or_assign(member, now);
    }
    for (const VmName &member : members) {
        this->leftAt.erase(member);
    }
    this->current = members;
}
}
