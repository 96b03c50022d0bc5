#pragma once

#include "global/reason.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace radishladder::settings {

//! Parses JSON with comments; errors name \a origin as the source of \a text.
std::optional<Json::Value> parseJson(const std::string &text, const std::string &origin,
                                     Reason &reason);

//! Reads and parses a file of JSON with comments.
std::optional<Json::Value> readJsonFile(const std::string &path, Reason &reason);

//! Returns \a value as compact JSON.
std::string jsonText(const Json::Value &value);
}
