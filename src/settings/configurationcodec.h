#pragma once

#include "global/reason.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::settings {
struct Configuration;
struct EncodedConfiguration;

//! Splits a configuration into a head and parts, so that a change rewrites only the services it
//! touches.
class ConfigurationCodec
{
public:
    //! Text of the part with a digest; std::nullopt if it is not at hand.
    using FindPart = std::function<std::optional<std::string>(const std::string &digest)>;

    EncodedConfiguration encode(const Configuration &configuration) const;

    //! Digests that \a head refers to; std::nullopt if it is malformed (see lastReason()).
    std::optional<std::vector<std::string>> digests(const std::string &head);

    //! std::nullopt if a part is missing, altered or wrong (see lastReason()).
    std::optional<Configuration> decode(const std::string &head, const FindPart &findPart);

    const Reason &lastReason() const { return this->reason; }

private:
    Reason reason;
};
}
