#pragma once

#include "distribution/types/relayresponse.h"

#include <optional>
#include <string>

namespace radishladder::distribution {

//! Returns \a response as JSON text.
std::string relayText(const RelayResponse &response);

//! Parses the output of relayText(); returns std::nullopt for any other text.
std::optional<RelayResponse> parseRelayText(const std::string &text);

//! Parses the body of a relay's HTTP response: the output of relayText(), compressed or not.
std::optional<RelayResponse> parseRelayBody(const std::string &body);
}
