#include "settings/overlaymerger.h"

#include "settings/internal/namedlist.h"
#include "settings/internal/overlayscope.h"
#include "settings/types/overlay.h"

#include <algorithm>
#include <set>

namespace radishladder::settings {
namespace {
void mergeInto(Json::Value &target, const Json::Value &change);

bool isNamedList(const Json::Value &value)
{
    return value.isArray() && std::all_of(value.begin(), value.end(), [](const Json::Value &item) {
               return !nameOf(item).empty();
           });
}

void removeByName(Json::Value &list, const std::string &name)
{
    Json::Value kept(Json::arrayValue);
    for (const Json::Value &item : list) {
        if (nameOf(item) != name) {
            kept.append(item);
        }
    }
    list = kept;
}

void mergeItem(Json::Value &list, const Json::Value &change)
{
    if (change.isMember("remove")) {
        removeByName(list, nameOf(change));
        return;
    }
    for (Json::Value &item : list) {
        if (nameOf(item) == nameOf(change)) {
            mergeInto(item, change);
            return;
        }
    }
    list.append(change);
}

void mergeInto(Json::Value &target, const Json::Value &change)
{
    if (target.isObject() && change.isObject()) {
        for (const std::string &key : change.getMemberNames()) {
            mergeInto(target[key], change[key]);
        }
    } else if (isNamedList(target) && isNamedList(change)) {
        for (const Json::Value &item : change) {
            mergeItem(target, item);
        }
    } else {
        target = change;
    }
}

std::string siteOf(const Overlay &overlay)
{
    const bool isNamed = overlay.json.isObject() && overlay.json["site"].isString();
    return isNamed ? overlay.json["site"].asString() : std::string();
}
}

std::optional<Json::Value> OverlayMerger::merge(const Json::Value &base,
                                                std::vector<Overlay> overlays)
{
    this->reason = {};
    if (!base.isObject()) {
        this->reason = {ResultCode::FieldType, "the base file is not a JSON object"};
        return std::nullopt;
    }
    std::ranges::sort(overlays, {}, siteOf);
    if (!this->checkSites(base, overlays)) {
        return std::nullopt;
    }
    Json::Value merged = base;
    for (const Overlay &overlay : overlays) {
        if (!OverlayScope(merged, overlay).check(this->reason)) {
            return std::nullopt;
        }
        Json::Value change = overlay.json;
        change.removeMember("site");
        mergeInto(merged, change);
    }
    return merged;
}

bool OverlayMerger::checkSites(const Json::Value &base, const std::vector<Overlay> &overlays)
{
    std::set<std::string> sites;
    for (const Overlay &overlay : overlays) {
        const std::string site = siteOf(overlay);
        if (site.empty()) {
            this->reason = {ResultCode::FieldMissing,
                            overlay.file + ": /site is missing, empty or not a string"};
        } else if (findByName(base["dataCentres"], site) == nullptr) {
            this->reason = {ResultCode::UnknownDataCentre,
                            overlay.file + ": /site " + site
                                + " is not a data centre of the base file"};
        } else if (!sites.insert(site).second) {
            this->reason = {ResultCode::DuplicateName,
                            overlay.file + ": /site " + site + " already has another overlay"};
        }
    }
    return this->reason.code == ResultCode::Ok;
}
}
