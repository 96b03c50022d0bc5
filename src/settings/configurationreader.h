#pragma once

#include "global/reason.h"
#include "settings/types/configuration.h"

#include <json/value.h>
#include <optional>

namespace radishladder::settings {

//! Checks a merged configuration and converts it into typed values.
class ConfigurationReader
{
public:
    //! Returns std::nullopt if a field is invalid (see lastReason()).
    std::optional<Configuration> read(const Json::Value &json);

    //! Reads one service whose upstreams must be in \a dataCentres; returns std::nullopt if a field
    //! is invalid (see lastReason()).
    std::optional<Service> readService(const Json::Value &json,
                                       const std::vector<DataCentre> &dataCentres);

    const Reason &lastReason() const { return this->reason; }

private:
    Reason reason;
};

//! Returns the JSON of \a configuration with all fields, also those at their defaults. An upstream
//! without HTTP has no httpPort.
Json::Value configurationJson(const Configuration &configuration);
}
