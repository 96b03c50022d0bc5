#include "settings/configurationfiles.h"

#include "settings/configurationreader.h"
#include "settings/internal/namedlist.h"
#include "settings/jsonfile.h"
#include "settings/overlaymerger.h"

#include <algorithm>
#include <filesystem>

namespace radishladder::settings {
namespace {
//! Returns true if \a json has a value at \a path, which identifies an item of an array by its
//! name.
bool hasPath(const Json::Value &json, const std::string &path)
{
    const Json::Value *node = &json;
    std::size_t from = 1;
    while (node != nullptr && from < path.size()) {
        const std::size_t to = std::min(path.find('/', from), path.size());
        const std::string segment = path.substr(from, to - from);
        from = to + 1;
        if (node->isArray()) {
            node = findByName(*node, segment);
        } else {
            node = node->isObject() && node->isMember(segment) ? &(*node)[segment] : nullptr;
        }
    }
    return node != nullptr;
}
}

bool ConfigurationFiles::load(const std::string &basePath, const std::string &overlayDirectory)
{
    this->reason = {};
    this->overlays.clear();
    this->directory = overlayDirectory;
    const auto json = readJsonFile(basePath, this->reason);
    if (!json) {
        return false;
    }
    this->base = {basePath, *json};
    if (overlayDirectory.empty()) {
        return true;
    }
    std::error_code error;
    std::vector<std::string> paths;
    for (const auto &entry : std::filesystem::directory_iterator(overlayDirectory, error)) {
        if (entry.path().extension() == ".json") {
            paths.push_back(entry.path().string());
        }
    }
    if (error) {
        this->reason = {ResultCode::FileUnreadable, overlayDirectory + ": " + error.message()};
        return false;
    }
    std::ranges::sort(paths);
    for (const std::string &path : paths) {
        const auto overlay = readJsonFile(path, this->reason);
        if (!overlay) {
            return false;
        }
        this->overlays.push_back({path, *overlay});
    }
    return true;
}

void ConfigurationFiles::setOverlay(const Overlay &overlay)
{
    const auto found = std::ranges::find(this->overlays, overlay.file, &Overlay::file);
    if (found == this->overlays.end()) {
        this->overlays.push_back(overlay);
    } else {
        *found = overlay;
    }
}

Overlay ConfigurationFiles::overlayForSite(const std::string &site) const
{
    for (const Overlay &overlay : this->overlays) {
        if (overlay.json.isObject() && overlay.json["site"] == Json::Value(site)) {
            return overlay;
        }
    }
    Overlay added{(std::filesystem::path(this->directory) / (site + ".json")).string(), {}};
    added.json["site"] = site;
    return added;
}

std::optional<Configuration> ConfigurationFiles::configuration()
{
    OverlayMerger merger;
    const auto merged = merger.merge(this->base.json, this->overlays);
    if (!merged) {
        this->reason = merger.lastReason();
        return std::nullopt;
    }
    for (const char *field : {"generation", "changeId"}) {
        if (merged->isMember(field)) {
            this->reason = {ResultCode::FieldUnknown,
                            this->base.file + ": /" + field
                                + " is assigned by the store and must not be set in a file"};
            return std::nullopt;
        }
    }
    ConfigurationReader reader;
    auto configuration = reader.read(*merged);
    if (!configuration) {
        const std::string &detail = reader.lastReason().detail;
        const std::string path = detail.substr(0, detail.find(' '));
        this->reason = {reader.lastReason().code, this->findSourceFile(path) + ": " + detail};
    }
    return configuration;
}

std::string ConfigurationFiles::findSourceFile(const std::string &path) const
{
    for (const Overlay &overlay : this->overlays) {
        if (path.size() > 1 && hasPath(overlay.json, path)) {
            return overlay.file;
        }
    }
    // A missing field is in no file. If the item that lacks the field is in an overlay and not in
    // the base file, the overlay is the file to correct.
    const std::string item = path.substr(0, path.rfind('/'));
    for (const Overlay &overlay : this->overlays) {
        if (item.size() > 1 && hasPath(overlay.json, item) && !hasPath(this->base.json, item)) {
            return overlay.file;
        }
    }
    return this->base.file;
}
}
