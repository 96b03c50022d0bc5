#pragma once

#include "global/reason.h"

#include <json/value.h>
#include <optional>
#include <vector>

namespace radishladder::settings {
struct Overlay;

//! Merges the overlays of sites into a base file. Objects merge key by key. Arrays whose items all
//! have a "name" merge by name: an item merges into the base file's item of the same name, or is
//! added if there is none; an item with "remove": true removes it instead. Any other value replaces
//! the one in the base file.
class OverlayMerger
{
public:
    //! Applies \a overlays sorted by the names of their sites; returns std::nullopt if an overlay
    //! does not fit the base file (see lastReason()).
    std::optional<Json::Value> merge(const Json::Value &base, std::vector<Overlay> overlays);

    const Reason &lastReason() const { return this->reason; }

private:
    bool checkSites(const Json::Value &base, const std::vector<Overlay> &overlays);

    Reason reason;
};
}
