#pragma once

#include "membership/internal/stateupdate.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace radishladder::membership {

//! State updates that still have to spread, each sent a bounded number of times.
class UpdateQueue
{
public:
    //! Puts \a update in place of an older one on the same VM; it will be sent \a times times.
    void add(const StateUpdate &update, int times);

    //! Updates for one datagram, those sent least often first.
    std::vector<StateUpdate> take(std::size_t maxBytes);

private:
    struct Entry
    {
        StateUpdate update;
        int remaining = 0;
    };

    std::map<std::string, Entry> entries;
};
}
