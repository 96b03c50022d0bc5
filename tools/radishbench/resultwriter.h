#pragma once

#include "radishbench/bounds.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace radishladder::radishbench {
struct Measures;

//! Measures and bounds as one JSON object; what does not apply is null.
Json::Value measuresJson(const Measures &measures, const std::vector<Bound> &bounds);

//! The same for a person to read.
std::string measuresTable(const Json::Value &result);
}
