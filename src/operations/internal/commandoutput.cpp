#include "operations/internal/commandoutput.h"

#include "settings/configurationdiff.h"

namespace radishladder::operations {
CommandResult failed(const Reason &reason)
{
    CommandResult result;
    result.code = reason.code;
    result.lines.push_back(std::to_string(static_cast<int>(reason.code)) + " "
                           + std::string(resultCodeName(reason.code)) + ": " + reason.detail);
    result.json["code"] = static_cast<int>(reason.code);
    result.json["name"] = std::string(resultCodeName(reason.code));
    result.json["detail"] = reason.detail;
    return result;
}

void addDifferences(const std::vector<settings::Difference> &differences, CommandResult &result)
{
    result.json["differences"] = Json::Value(Json::arrayValue);
    for (const settings::Difference &difference : differences) {
        Json::Value item(Json::objectValue);
        item["path"] = difference.path;
        item["before"] = difference.before;
        item["after"] = difference.after;
        result.json["differences"].append(item);
        result.lines.push_back("  " + settings::differenceLine(difference));
    }
}

Json::Value namesJson(const std::vector<std::string> &names)
{
    Json::Value json(Json::arrayValue);
    for (const std::string &name : names) {
        json.append(name);
    }
    return json;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}
}
