#pragma once

#include "distribution/types/relayresponse.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishladder::distribution {

//! Returns \a response as JSON text.
std::string relayText(const RelayResponse &response);

//! Parses the output of relayText(); returns std::nullopt for any other text.
std::optional<RelayResponse> parseRelayText(const std::string &text);

//! Returns the body of a response with kUnavailable: the era of the responding VM, from which the
//! receiver learns of a newer one.
std::string unavailableText(std::uint64_t era);

//! Parses the output of unavailableText(); returns 0 for any other text.
std::uint64_t parseUnavailableText(const std::string &text);

//! Parses the body of a relay's HTTP response: the output of relayText(), compressed or not.
std::optional<RelayResponse> parseRelayBody(const std::string &body);
}
