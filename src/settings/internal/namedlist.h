#pragma once

#include <json/value.h>
#include <string>

namespace radishladder::settings {

//! Returns the "name" of \a item; empty if it has none.
std::string nameOf(const Json::Value &item);

//! Returns the item of \a list with the name \a name; nullptr if there is none.
const Json::Value *findByName(const Json::Value &list, const std::string &name);
}
