#pragma once

#include <json/value.h>
#include <string>

namespace radishladder::settings {

//! Text of the "name" field of \a item, empty if it has none.
std::string nameOf(const Json::Value &item);

//! Item called \a name in \a list; nullptr if there is none.
const Json::Value *findNamed(const Json::Value &list, const std::string &name);
}
