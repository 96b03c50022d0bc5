#pragma once

#include <cstdint>
#include <string>

#include <json/value.h>

namespace radishladder::store {
struct StoredValue;

//! Integer of the gateway's JSON, which writes integers as strings; 0 if it is none.
std::int64_t etcdInteger(const Json::Value &value);

//! One key-value pair of the gateway's JSON.
StoredValue etcdStoredValue(const Json::Value &json);

//! First key after all that start with \a prefix.
std::string endOfPrefix(std::string prefix);
}
