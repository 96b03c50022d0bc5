#pragma once

#include "global/reason.h"
#include "settings/types/vmsettings.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace radishladder::settings {

//! Reads and checks the settings file of one VM.
class VmSettingsReader
{
public:
    //! Returns std::nullopt if the file cannot be read or a field is invalid (see lastReason()).
    std::optional<VmSettings> read(const std::string &path);

    //! As read(), but parses \a text; errors name \a origin as its source.
    std::optional<VmSettings> parse(const std::string &text, const std::string &origin);

    const Reason &lastReason() const { return this->reason; }

private:
    std::optional<VmSettings> fromJson(const Json::Value &json, const std::string &origin);

    Reason reason;
};
}
