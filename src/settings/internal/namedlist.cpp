#include "settings/internal/namedlist.h"

namespace radishladder::settings {
std::string nameOf(const Json::Value &item)
{
    return item.isObject() && item["name"].isString() ? item["name"].asString() : std::string();
}

const Json::Value *findByName(const Json::Value &list, const std::string &name)
{
    if (!list.isArray()) {
        return nullptr;
    }
    for (const Json::Value &item : list) {
        if (nameOf(item) == name) {
            return &item;
        }
    }
    return nullptr;
}
}
