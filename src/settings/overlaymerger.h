#pragma once

#include "global/reason.h"

#include <json/value.h>
#include <optional>
#include <vector>

namespace radishladder::settings {
struct Overlay;

//! Merges overlays of sites into a base file. Objects merge by key, items of arrays by their
//! "name"; a new name is added, an item with "remove": true is taken out, other values replace.
class OverlayMerger
{
public:
    //! Applies \a overlays in order of their sites; std::nullopt if one does not fit (see
    //! lastReason()).
    std::optional<Json::Value> merge(const Json::Value &base, std::vector<Overlay> overlays);

    const Reason &lastReason() const { return this->reason; }

private:
    bool checkSites(const Json::Value &base, const std::vector<Overlay> &overlays);

    Reason reason;
};
}
