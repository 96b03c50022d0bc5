#pragma once

#include "global/reason.h"
#include "settings/types/configuration.h"

#include <json/value.h>
#include <optional>

namespace radishladder::settings {

//! Checks a merged configuration and turns it into typed values, and back.
class ConfigurationReader
{
public:
    //! std::nullopt if a field is wrong (see lastReason()).
    std::optional<Configuration> read(const Json::Value &json);

    //! One service whose upstreams are in \a dataCentres; std::nullopt if a field is wrong (see
    //! lastReason()).
    std::optional<Service> readService(const Json::Value &json,
                                       const std::vector<DataCentre> &dataCentres);

    const Reason &lastReason() const { return this->reason; }

private:
    Reason reason;
};

//! JSON of \a configuration with every field written out.
Json::Value configurationJson(const Configuration &configuration);
}
