#pragma once

#include "settings/types/vmsettings.h"

#include <cstddef>
#include <vector>

namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::standins {
class FabricStandin;
class StoreStandin;
}

namespace radishladder::radishbench {

//! The platform's lagging list of VMs: what happens to a VM shows in the store and at the fabric
//! only seconds later.
class PlatformList
{
public:
    PlatformList(std::vector<settings::VmSettings> listed, standins::StoreStandin &store,
                 standins::FabricStandin &fabric, net::IEventLoop &loop);

    //! Writes the first list at once.
    void publish();

    void vmStarted(std::size_t index);
    void vmLeaving(std::size_t index);
    void vmGone(std::size_t index);

private:
    struct Entry
    {
        bool listed = true;
        bool leaving = false;
    };

    void changeLater(std::size_t index, Entry entry);

    std::vector<settings::VmSettings> vms;
    std::vector<Entry> entries;
    standins::StoreStandin &store;
    standins::FabricStandin &fabric;
    net::IEventLoop &loop;
};
}
