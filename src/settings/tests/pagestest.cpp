#include "settings/configurationreader.h"
#include "settings/jsonfile.h"
#include "settings/vmsettingsreader.h"

#include <algorithm>
#include <charconv>
#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::settings;

namespace {
using Row = std::vector<std::string>;

//! Returns the cells of those table rows of \a page whose first cell is formatted as code.
std::vector<Row> readTableRows(const std::string &page)
{
    std::vector<Row> rows;
    std::ifstream file(page);
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("| `")) {
            continue;
        }
        Row row;
        std::istringstream cells(line.substr(1));
        for (std::string cell; std::getline(cells, cell, '|');) {
            const auto first = cell.find_first_not_of(" `");
            const auto last = cell.find_last_not_of(" `");
            row.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
        }
        rows.push_back(row);
    }
    return rows;
}

const char *const kMinimal = R"({"dataCentres": [{"name": "d"}],
    "services": [{"name": "s", "address": "127.0.0.1", "port": 443, "upstreams": [
        {"name": "u", "dataCentre": "d", "address": "127.0.0.2", "tunnelPort": 6080}]}]})";

Json::Value minimalConfiguration()
{
    Reason reason;
    return *parseJson(kMinimal, "minimal", reason);
}

//! Returns the object in \a json that has the field at \a path; follows the first item of each
//! array.
Json::Value &parentObject(Json::Value &json, const std::string &path)
{
    if (path.starts_with("/services/SERVICE/upstreams/UPSTREAM/")) {
        return json["services"][0]["upstreams"][0];
    }
    if (path.starts_with("/services/SERVICE/")) {
        return json["services"][0];
    }
    return path.starts_with("/dataCentres/SITE/") ? json["dataCentres"][0] : json;
}

std::string fieldName(const std::string &path)
{
    return path.substr(path.rfind('/') + 1);
}

std::string valueText(const Json::Value &value)
{
    return value.isString() ? value.asString() : jsonText(value);
}

bool isAccepted(const Json::Value &json)
{
    ConfigurationReader reader;
    return reader.read(json).has_value();
}

std::set<std::string> rowNames(const std::vector<Row> &rows, const std::string &prefix)
{
    std::set<std::string> names;
    for (const Row &row : rows) {
        const bool isDirectField =
            row[0].starts_with(prefix) && row[0].find('/', prefix.size()) == std::string::npos;
        if (isDirectField) {
            names.insert(row[0].substr(prefix.size()));
        }
    }
    return names;
}

std::set<std::string> memberNames(const Json::Value &json)
{
    const auto names = json.getMemberNames();
    return {names.begin(), names.end()};
}
}

Test(pages, configuration_page_lists_every_field)
{
    Json::Value full = minimalConfiguration();
    full["services"][0]["upstreams"][0]["httpPort"] = 8080;
    ConfigurationReader reader;
    const Json::Value written = configurationJson(*reader.read(full));
    const auto rows = readTableRows("docs/operators/configuration.md");
    std::set<std::string> top = memberNames(written);
    // The store assigns generation and changeId; operators do not write these fields.
    top.erase("generation");
    top.erase("changeId");
    cr_assert(rowNames(rows, "/") == top);
    cr_assert(rowNames(rows, "/dataCentres/SITE/") == memberNames(written["dataCentres"][0]));
    cr_assert(rowNames(rows, "/services/SERVICE/") == memberNames(written["services"][0]));
    cr_assert(rowNames(rows, "/services/SERVICE/upstreams/UPSTREAM/")
              == memberNames(written["services"][0]["upstreams"][0]));
}

Test(pages, configuration_page_gives_defaults_and_limits)
{
    ConfigurationReader reader;
    const Json::Value written = configurationJson(*reader.read(minimalConfiguration()));
    for (const Row &row : readTableRows("docs/operators/configuration.md")) {
        if (!row[0].starts_with("/") || row[3] == "none") {
            continue;
        }
        const std::string field = fieldName(row[0]);
        Json::Value without = minimalConfiguration();
        parentObject(without, row[0]).removeMember(field);
        cr_assert_eq(isAccepted(without), row[3] != "required", "%s", row[0].c_str());
        if (row[3] != "required") {
            Json::Value copy = written;
            const std::string shown = valueText(parentObject(copy, row[0])[field]);
            cr_assert_eq(shown, row[3], "%s: %s", row[0].c_str(), shown.c_str());
        }
        const auto to = row[4].find(" to ");
        if (to == std::string::npos) {
            continue;
        }
        const std::int64_t minimum = std::stoll(row[4]);
        const std::int64_t maximum = std::stoll(row[4].substr(to + 4));
        const std::pair<std::int64_t, bool> values[] = {
            {minimum, true}, {maximum, true}, {minimum - 1, false}, {maximum + 1, false}};
        for (const auto &[value, isValid] : values) {
            Json::Value changed = minimalConfiguration();
            parentObject(changed, row[0])[field] = static_cast<Json::Int64>(value);
            cr_assert_eq(isAccepted(changed), isValid, "%s = %ld", row[0].c_str(),
                         static_cast<long>(value));
        }
    }
}

Test(pages, vm_settings_page_lists_every_field)
{
    Reason reason;
    const auto full = readJsonFile("examples/kozmu/vms/obuda-1.json", reason);
    cr_assert(full.has_value());
    const std::string file = std::filesystem::temp_directory_path()
        / ("radishladder-pages-" + std::to_string(getpid()) + ".json");
    std::set<std::string> listed;
    for (const Row &row : readTableRows("docs/operators/configuration.md")) {
        if (row[0].starts_with("/") || row[0].starts_with("limits/")) {
            continue;
        }
        listed.insert(row[0]);
        Json::Value without = *full;
        without.removeMember(row[0]);
        std::ofstream(file) << jsonText(without);
        VmSettingsReader reader;
        cr_assert_eq(reader.read(file).has_value(), row[3] != "required", "%s", row[0].c_str());
        Json::Value with = *full;
        // Every field rejects an array within an array, while some accept an empty array.
        with[row[0]] = Json::Value(Json::arrayValue);
        with[row[0]].append(Json::Value(Json::arrayValue));
        std::ofstream(file) << jsonText(with);
        cr_assert(!reader.read(file).has_value());
        cr_assert(reader.lastReason().code != ResultCode::FieldUnknown, "%s", row[0].c_str());
    }
    std::filesystem::remove(file);
    const auto limits = rowNames(readTableRows("docs/operators/configuration.md"), "limits/");
    for (const std::string &field : limits) {
        Json::Value with = *full;
        with["limits"][field] = "text";
        VmSettingsReader reader;
        cr_assert(!reader.parse(jsonText(with), "vm").has_value());
        cr_assert_eq(reader.lastReason().code, ResultCode::FieldType, "%s", field.c_str());
    }
    for (const std::string &field : memberNames((*full)["limits"])) {
        cr_assert(limits.contains(field), "%s", field.c_str());
    }
    for (const std::string &field : memberNames(*full)) {
        cr_assert(listed.contains(field), "%s", field.c_str());
    }
}
