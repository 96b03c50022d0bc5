#pragma once

#include "global/name.h"

#include <cstdint>
#include <string>

namespace radishladder::operations {

//! Another VM as the answering VM sees it.
struct MemberStatus
{
    VmName name;
    DataCentreName dataCentre;
    std::string state;
    std::uint64_t generation = 0;

    bool operator==(const MemberStatus &) const = default;
};
}
