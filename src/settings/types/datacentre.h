#pragma once

#include "global/name.h"

namespace radishladder::settings {

//! A data centre as operators configure it.
struct DataCentre
{
    DataCentreName name;

    //! Evacuated by operators: no packet and no request is sent there.
    bool isEvacuated = false;

    bool operator==(const DataCentre &) const = default;
};
}
