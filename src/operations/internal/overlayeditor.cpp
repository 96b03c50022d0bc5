#include "operations/overlayeditor.h"

#include <filesystem>
#include <fstream>

namespace radishladder::operations {
namespace {
Json::Value &itemCalled(Json::Value &list, const std::string &name)
{
    for (Json::Value &item : list) {
        if (item.isObject() && item["name"] == Json::Value(name)) {
            return item;
        }
    }
    Json::Value item(Json::objectValue);
    item["name"] = name;
    return list.append(item);
}
}

void OverlayEditor::setDataCentreOut(bool out)
{
    const std::string site = this->overlay.json["site"].asString();
    itemCalled(this->overlay.json["dataCentres"], site)["out"] = out;
}

void OverlayEditor::setDrain(const std::string &service, const std::string &upstream, bool drain)
{
    Json::Value &item = itemCalled(this->overlay.json["services"], service);
    itemCalled(item["upstreams"], upstream)["drain"] = drain;
}

void OverlayEditor::setFreeze(bool freeze)
{
    // An overlay can only switch freeze on.
    if (freeze) {
        this->overlay.json["freeze"] = true;
    } else {
        this->overlay.json.removeMember("freeze");
    }
}

bool OverlayEditor::save(Reason &reason) const
{
    const std::string temporary = this->overlay.file + ".new";
    {
        std::ofstream file(temporary);
        file << this->overlay.json.toStyledString();
        file.close();
        if (!file) {
            reason = {ResultCode::FileUnreadable, temporary + ": cannot be written"};
            return false;
        }
    }
    std::error_code error;
    std::filesystem::rename(temporary, this->overlay.file, error);
    if (error) {
        std::filesystem::remove(temporary, error);
        reason = {ResultCode::FileUnreadable, this->overlay.file + ": cannot be replaced"};
        return false;
    }
    return true;
}
}
