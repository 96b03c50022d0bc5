#pragma once

#include <map>
#include <string>

namespace radishladder::net {

//! Returns \a text with all characters except letters, digits and "-_./" encoded as %XX.
std::string percentEncoded(const std::string &text);

//! Returns the decoded fields of \a query by name; a malformed escape sequence is kept unchanged.
std::map<std::string, std::string> queryFields(const std::string &query);
}
