#pragma once

#include "global/name.h"

#include <chrono>
#include <map>
#include <vector>

namespace radishladder::placement {

//! Remembers which members have left the member list of this VM recently: other VMs may still list
//! them, and they may still count themselves as members.
class MemberHistory
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Must be called with the current members before recentlyLeft() is used.
    void update(const std::vector<VmName> &members, TimePoint now);

    //! Returns the time at which each member left.
    const std::map<VmName, TimePoint> &recentlyLeft() const { return this->leftAt; }

private:
    std::vector<VmName> current;
    std::map<VmName, TimePoint> leftAt;
};
}
