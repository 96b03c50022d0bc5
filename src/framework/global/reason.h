#pragma once

#include "global/resultcode.h"

#include <string>

namespace radishladder {

//! Describes why an operation failed: a result code and a text that names the place or the detail.
//! ResultCode::Ok means that nothing failed.
struct Reason
{
    ResultCode code = ResultCode::Ok;
    std::string detail;
};
}
