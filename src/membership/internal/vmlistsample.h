#pragma once

#include "membership/types/listedvm.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace radishladder::membership {

//! A few entries of the platform's list, for a VM that may have no list yet.
struct VmListSample
{
    struct Entry
    {
        std::string name;
        std::string dataCentre;

        //! Addresses and ports of data, peer, requests and admin in turn.
        std::vector<std::uint32_t> endpoints;

        MSGPACK_DEFINE_ARRAY(name, dataCentre, endpoints)
    };

    std::vector<Entry> entries;

    MSGPACK_DEFINE_ARRAY(entries)
};

inline VmListSample::Entry sampleEntry(const ListedVm &vm)
{
    VmListSample::Entry entry{vm.name.str(), vm.dataCentre.str(), {}};
    for (const net::Endpoint *endpoint : {&vm.data, &vm.peer, &vm.requests, &vm.admin}) {
        entry.endpoints.push_back(endpoint->address);
        entry.endpoints.push_back(endpoint->port);
    }
    return entry;
}

inline ListedVm listedVm(const VmListSample::Entry &entry)
{
    ListedVm vm{.name = VmName(entry.name), .dataCentre = DataCentreName(entry.dataCentre)};
    std::size_t i = 0;
    for (net::Endpoint *endpoint : {&vm.data, &vm.peer, &vm.requests, &vm.admin}) {
        if (i + 1 < entry.endpoints.size()) {
            *endpoint = {entry.endpoints[i], static_cast<std::uint16_t>(entry.endpoints[i + 1])};
        }
        i += 2;
    }
    return vm;
}
}
