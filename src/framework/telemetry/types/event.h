#pragma once

#include "global/name.h"
#include "global/resultcode.h"
#include "telemetry/types/hybridtime.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishladder::telemetry {

//! One change of state on the time line.
struct Event
{
    HybridTime time;
    VmName vm;
    DataCentreName dataCentre;
    std::string kind;
    ServiceName service;
    std::string subject;
    ResultCode reason = ResultCode::Ok;
    std::string detail;
};
}
