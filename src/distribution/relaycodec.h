#pragma once

#include "distribution/types/relayanswer.h"

#include <optional>
#include <string>

namespace radishladder::distribution {

//! JSON text of \a answer.
std::string relayText(const RelayAnswer &answer);

//! Reads what relayText() wrote; std::nullopt if \a text is anything else.
std::optional<RelayAnswer> parseRelayText(const std::string &text);
}
