#pragma once

#include "global/name.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace radishladder::operations {

//! What one VM answered to a call.
struct VmAnswer
{
    VmName vm;

    //! Absent if the VM did not answer or refused the call.
    std::optional<Json::Value> result;
    std::string error;
};
}
