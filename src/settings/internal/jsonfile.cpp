#include "settings/jsonfile.h"

#include <algorithm>
#include <fstream>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

namespace radishladder::settings {
std::optional<Json::Value> parseJson(const std::string &text, const std::string &origin,
                                     Reason &reason)
{
    Json::CharReaderBuilder builder;
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = 64;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    bool parsed = false;
    try {
        parsed = reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    } catch (const Json::Exception &error) {
        errors = error.what();
    }
    if (!parsed) {
        std::ranges::replace(errors, '\n', ' ');
        reason = {ResultCode::JsonMalformed, origin + ": " + errors};
        return std::nullopt;
    }
    return value;
}

std::optional<Json::Value> readJsonFile(const std::string &path, Reason &reason)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        reason = {ResultCode::FileUnreadable, path + ": cannot be read"};
        return std::nullopt;
    }
    return parseJson(text.str(), path, reason);
}

std::string jsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}
}
