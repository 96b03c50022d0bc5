#include "settings/configurationdiff.h"

#include "settings/configurationreader.h"
#include "settings/internal/namedlist.h"
#include "settings/jsonfile.h"
#include "settings/types/difference.h"

namespace radishladder::settings {
namespace {
using Differences = std::vector<Difference>;

void compare(const Json::Value &before, const Json::Value &after, const std::string &path,
             Differences &found);

void compareLists(const Json::Value &before, const Json::Value &after, const std::string &path,
                  Differences &found)
{
    for (const Json::Value &item : before) {
        const Json::Value *other = findNamed(after, nameOf(item));
        const std::string itemPath = path + "/" + nameOf(item);
        if (other == nullptr) {
            found.push_back({itemPath, jsonText(item), ""});
        } else {
            compare(item, *other, itemPath, found);
        }
    }
    for (const Json::Value &item : after) {
        if (findNamed(before, nameOf(item)) == nullptr) {
            found.push_back({path + "/" + nameOf(item), "", jsonText(item)});
        }
    }
}

void compareObjects(const Json::Value &before, const Json::Value &after, const std::string &path,
                    Differences &found)
{
    for (const std::string &key : before.getMemberNames()) {
        compare(before[key], after[key], path + "/" + key, found);
    }
    for (const std::string &key : after.getMemberNames()) {
        if (!before.isMember(key)) {
            found.push_back({path + "/" + key, "", jsonText(after[key])});
        }
    }
}

void compare(const Json::Value &before, const Json::Value &after, const std::string &path,
             Differences &found)
{
    if (before.isObject() && after.isObject()) {
        compareObjects(before, after, path, found);
    } else if (before.isArray() && after.isArray()) {
        compareLists(before, after, path, found);
    } else if (before != after) {
        found.push_back({path, jsonText(before), after.isNull() ? "" : jsonText(after)});
    }
}
}

std::vector<Difference> differences(const Configuration &before, const Configuration &after)
{
    Json::Value left = configurationJson(before);
    Json::Value right = configurationJson(after);
    for (const char *field : {"generation", "changeId"}) {
        left.removeMember(field);
        right.removeMember(field);
    }
    Differences found;
    compare(left, right, "", found);
    return found;
}

std::string differenceLine(const Difference &difference)
{
    const std::string before = difference.before.empty() ? "(absent)" : difference.before;
    const std::string after = difference.after.empty() ? "(absent)" : difference.after;
    return difference.path + ": " + before + " -> " + after;
}
}
