#pragma once

#include "global/reason.h"
#include "settings/types/configuration.h"
#include "settings/types/overlay.h"

#include <optional>
#include <string>
#include <vector>

namespace radishladder::settings {

//! The base file and the overlay files in which operators describe the configuration.
class ConfigurationFiles
{
public:
    //! Reads the base file and every *.json file in the directory \a overlays (no overlays if the
    //! path is empty). Returns false if a file cannot be read or parsed (see lastReason()).
    bool load(const std::string &base, const std::string &overlays);

    //! Replaces the overlay that was loaded from \a overlay.file, or adds a new overlay, in memory
    //! only; writes no file.
    void setOverlay(const Overlay &overlay);

    //! Returns the overlay of \a site. If there is none, returns a new overlay that holds only the
    //! site and whose file is named after the site.
    Overlay overlayForSite(const std::string &site) const;

    //! Merges the overlays into the base file and checks the result; returns std::nullopt if an
    //! overlay does not fit the base file or a field is invalid (see lastReason()).
    std::optional<Configuration> configuration();

    const Reason &lastReason() const { return this->reason; }

private:
    //! Returns the file that sets the field at \a path of the merged configuration.
    std::string findSourceFile(const std::string &path) const;

    Overlay base;
    std::string directory;
    std::vector<Overlay> overlays;
    Reason reason;
};
}
