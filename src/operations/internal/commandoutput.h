#pragma once

#include "global/reason.h"
#include "operations/types/commandresult.h"
#include "settings/types/difference.h"

#include <vector>

namespace radishladder::operations {

//! Result that says why a command failed.
CommandResult failed(const Reason &reason);

//! Adds \a differences to \a result.
void addDifferences(const std::vector<settings::Difference> &differences, CommandResult &result);

//! JSON array of \a names.
Json::Value namesJson(const std::vector<std::string> &names);

//! \a names with commas between them.
std::string joined(const std::vector<std::string> &names);
}
