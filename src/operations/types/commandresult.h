#pragma once

#include "global/resultcode.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace radishladder::operations {

//! Outcome of one command, for people and for programs.
struct CommandResult
{
    ResultCode code = ResultCode::Ok;
    std::vector<std::string> lines;
    Json::Value json{Json::objectValue};
};
}
