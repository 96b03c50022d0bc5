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
    //! std::nullopt if the file is unreadable or a field is wrong (see lastReason()).
    std::optional<VmSettings> read(const std::string &path);

    //! As read(), from text that \a origin names in errors.
    std::optional<VmSettings> parse(const std::string &text, const std::string &origin);

    const Reason &lastReason() const { return this->reason; }

private:
    std::optional<VmSettings> check(const Json::Value &json, const std::string &origin);

    Reason reason;
};
}
