#pragma once

#include "global/reason.h"
#include "settings/types/configuration.h"
#include "settings/types/overlay.h"

#include <optional>
#include <string>
#include <vector>

namespace radishladder::settings {

//! The operators' base file and overlays.
class ConfigurationFiles
{
public:
    //! Reads the base file and every *.json file in the directory \a overlays (none if empty);
    //! false if one is unreadable (see lastReason()).
    bool load(const std::string &base, const std::string &overlays);

    //! Replaces or adds the overlay of \a overlay.file in memory.
    void setOverlay(const Overlay &overlay);

    //! The overlay of \a site; an empty one, named after the site, if there is none yet.
    Overlay overlayOf(const std::string &site) const;

    //! Merged and checked; std::nullopt if a field is wrong (see lastReason()).
    std::optional<Configuration> configuration();

    const Reason &lastReason() const { return this->reason; }

private:
    std::string fileOf(const std::string &path) const;

    Overlay base;
    std::string directory;
    std::vector<Overlay> overlays;
    Reason reason;
};
}
