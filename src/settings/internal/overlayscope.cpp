#include "settings/internal/overlayscope.h"

#include "settings/internal/namedlist.h"
#include "settings/types/overlay.h"

#include <set>

namespace radishladder::settings {
namespace {
const Json::Value &nullValue()
{
    static const Json::Value kNull;
    return kNull;
}
}

OverlayScope::OverlayScope(const Json::Value &merged, const Overlay &overlay)
    : merged(merged), overlay(overlay), site(overlay.json["site"].asString())
{ }

bool OverlayScope::check(Reason &result)
{
    static const std::set<std::string> kFields{"site", "freeze", "dataCentres", "services"};
    for (const std::string &field : this->overlay.json.getMemberNames()) {
        if (!kFields.contains(field)) {
            this->fail("/" + field, "must not be set by an overlay");
        }
    }
    // The system is frozen if any file freezes it, so an overlay must not set false, which would
    // override the true of another file.
    const Json::Value &freeze = this->overlay.json["freeze"];
    if (!freeze.isNull() && freeze != Json::Value(true)) {
        this->fail("/freeze", "must be true or absent in an overlay");
    }
    this->checkDataCentres();
    this->checkServices();
    result = this->reason;
    return this->reason.code == ResultCode::Ok;
}

void OverlayScope::checkDataCentres()
{
    const Json::Value &list = this->overlay.json["dataCentres"];
    if (!list.isNull() && !list.isArray()) {
        this->fail("/dataCentres", "is not an array");
        return;
    }
    for (const Json::Value &item : list) {
        const std::string path = "/dataCentres/" + nameOf(item);
        if (nameOf(item) != this->site) {
            this->fail(path, "is not the overlay's site " + this->site);
        } else if (item.isMember("remove")) {
            this->fail(path + "/remove", "is allowed for upstreams only");
        }
    }
}

void OverlayScope::checkServices()
{
    const Json::Value &list = this->overlay.json["services"];
    if (!list.isNull() && !list.isArray()) {
        this->fail("/services", "is not an array");
        return;
    }
    for (const Json::Value &item : list) {
        const std::string path = "/services/" + nameOf(item);
        const Json::Value *service = findByName(this->merged["services"], nameOf(item));
        if (nameOf(item).empty() || service == nullptr) {
            this->fail(path, "is not a service of the base file");
            continue;
        }
        for (const std::string &field : item.getMemberNames()) {
            if (field != "name" && field != "upstreams") {
                this->fail(path + "/" + field, "must not be set by an overlay");
            }
        }
        if (item.isMember("upstreams") && !item["upstreams"].isArray()) {
            this->fail(path + "/upstreams", "is not an array");
            continue;
        }
        for (const Json::Value &upstream : item["upstreams"]) {
            const Json::Value *current = findByName((*service)["upstreams"], nameOf(upstream));
            this->checkUpstream(current == nullptr ? nullValue() : *current, upstream,
                                path + "/upstreams/" + nameOf(upstream));
        }
    }
}

void OverlayScope::checkUpstream(const Json::Value &current, const Json::Value &item,
                                 const std::string &path)
{
    if (nameOf(item).empty()) {
        this->fail(path, "is an upstream without a name");
        return;
    }
    if (item.isMember("remove") && item["remove"] != Json::Value(true)) {
        this->fail(path + "/remove", "must be true");
    }
    if (item.isMember("remove") && current.isNull()) {
        this->fail(path + "/remove", "names an upstream that does not exist");
    }
    if (!current.isNull() && current["dataCentre"] != Json::Value(this->site)) {
        this->fail(path, "is not an upstream of the site " + this->site);
    }
    const bool isMoved =
        item.isMember("dataCentre") && item["dataCentre"] != Json::Value(this->site);
    const bool lacksDataCentre = current.isNull() && !item.isMember("dataCentre");
    if (isMoved || lacksDataCentre) {
        this->fail(path + "/dataCentre", "must be the overlay's site " + this->site);
    }
}

void OverlayScope::fail(const std::string &path, const std::string &detail)
{
    if (this->reason.code == ResultCode::Ok) {
        this->reason = {ResultCode::OverlayMismatch,
                        this->overlay.file + ": " + path + " " + detail};
    }
}
}
