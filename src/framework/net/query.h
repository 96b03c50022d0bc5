#pragma once

#include <map>
#include <string>

namespace radishladder::net {

//! \a text with everything but letters, digits and "-_./" as %XX.
std::string percentEncoded(const std::string &text);

//! Fields of a query by their names, decoded; a malformed escape stays as it is.
std::map<std::string, std::string> queryFields(const std::string &query);
}
