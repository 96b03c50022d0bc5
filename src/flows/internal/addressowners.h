#pragma once

#include "net/types/endpoint.h"

#include <set>

namespace radishladder::placement {
struct UpstreamEntry;
}
namespace radishladder::settings {
struct Configuration;
}

namespace radishladder::flows {

//! Which tunnel addresses belong to configured upstreams.
class AddressOwners
{
public:
    void reload(const settings::Configuration &configuration);

    //! True if the address of \a entry now belongs to another upstream.
    bool isReused(const placement::UpstreamEntry &entry) const;

private:
    std::set<net::Endpoint> configured;
};
}
