#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace radishladder::net {

//! Returns \a text in the zlib format (RFC 1950); std::nullopt if there is not enough memory.
std::optional<std::string> compress(const std::string &text);

//! Returns the text that compress() was called with; std::nullopt if \a data is not in the zlib
//! format, or if the text is longer than \a maxBytes.
std::optional<std::string> decompress(const std::string &data, std::size_t maxBytes);
}
