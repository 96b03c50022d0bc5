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

void compareArrays(const Json::Value &before, const Json::Value &after, const std::string &path,
                   Differences &found)
{
    for (const Json::Value &item : before) {
        const Json::Value *other = findByName(after, nameOf(item));
        const std::string itemPath = path + "/" + nameOf(item);
        if (other == nullptr) {
            found.push_back({itemPath, jsonText(item), ""});
        } else {
            compare(item, *other, itemPath, found);
        }
    }
    for (const Json::Value &item : after) {
        if (findByName(before, nameOf(item)) == nullptr) {
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
        compareArrays(before, after, path, found);
    } else if (before != after) {
        found.push_back({path, jsonText(before), after.isNull() ? "" : jsonText(after)});
    }
}
}

std::vector<Difference> findDifferences(const Configuration &before, const Configuration &after)
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

std::string formatDifference(const Difference &difference)
{
    const std::string before = difference.before.empty() ? "(absent)" : difference.before;
    const std::string after = difference.after.empty() ? "(absent)" : difference.after;
    return difference.path + ": " + before + " -> " + after;
}
}
