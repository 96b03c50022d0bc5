#include "settings/vmsettingsreader.h"

#include "settings/fieldreader.h"
#include "settings/jsonfile.h"

namespace radishladder::settings {
namespace {
constexpr std::int64_t kLongestMs = 3'600'000;
constexpr std::int64_t kLongestSeconds = 86'400;
constexpr std::int64_t kMostMemoryMb = 1'000'000;
constexpr double kMostMbps = 1'000'000;
constexpr std::int64_t kMostLogLines = 100'000;
constexpr double kMostOverage = 100;

void readLimits(const Json::Value &json, VmSettings &settings, Reason &reason)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    FieldReader reader(json, "/limits", reason);
    settings.drain =
        milliseconds(reader.integerOr("drainMs", 1, kLongestMs, settings.drain.count()));
    settings.configuration = milliseconds(
        reader.integerOr("configurationMs", 1, kLongestMs, settings.configuration.count()));
    settings.evacuation =
        milliseconds(reader.integerOr("evacuationMs", 1, kLongestMs, settings.evacuation.count()));
    settings.flowMax =
        seconds(reader.integerOr("flowMaxSeconds", 1, kLongestSeconds, settings.flowMax.count()));
    settings.stop =
        seconds(reader.integerOr("stopSeconds", 1, kLongestSeconds, settings.stop.count()));
    settings.warmupOverage =
        reader.numberOr("warmupOverage", 0, kMostOverage, settings.warmupOverage);
    settings.warmupSlack =
        static_cast<int>(reader.integerOr("warmupSlack", 0, kMostLogLines, settings.warmupSlack));
    settings.linkMbps =
        static_cast<int>(reader.numberOr("linkMbps", 0, kMostMbps, settings.linkMbps));
    settings.memoryMb =
        static_cast<int>(reader.integerOr("memoryMb", 1, kMostMemoryMb, settings.memoryMb));
    reader.rejectUnknownFields();
}

void readSeeds(FieldReader &reader, VmSettings &settings)
{
    for (const Json::Value &entry : reader.array("seeds", false)) {
        const auto seed = entry.isString() ? net::parseEndpoint(entry.asString()) : std::nullopt;
        if (!seed || seed->port == 0) {
            reader.fail(ResultCode::FieldType, "seeds", "has an entry that is no address and port");
            return;
        }
        // A VM that starts has nothing to tell itself.
        if (seed != settings.relay) {
            settings.seeds.push_back(*seed);
        }
    }
}

void checkPorts(FieldReader &reader, const VmSettings &settings)
{
    const std::pair<const char *, net::Endpoint> endpoints[] = {{"packets", settings.packets},
                                                                {"readiness", settings.readiness},
                                                                {"operations", settings.operations},
                                                                {"store", settings.store}};
    for (const auto &[field, endpoint] : endpoints) {
        if (endpoint.port == 0) {
            reader.fail(ResultCode::FieldRange, field, "has port 0");
        }
    }
    if (settings.relay && settings.relay->port == 0) {
        reader.fail(ResultCode::FieldRange, "relay", "has port 0");
    }
}
}

std::optional<VmSettings> VmSettingsReader::read(const std::string &path)
{
    this->reason = {};
    const auto json = readJsonFile(path, this->reason);
    return json ? this->check(*json, path) : std::nullopt;
}

std::optional<VmSettings> VmSettingsReader::parse(const std::string &text,
                                                  const std::string &origin)
{
    this->reason = {};
    const auto json = parseJson(text, origin, this->reason);
    return json ? this->check(*json, origin) : std::nullopt;
}

std::optional<VmSettings> VmSettingsReader::check(const Json::Value &json,
                                                  const std::string &origin)
{
    FieldReader reader(json, "", this->reason);
    VmSettings settings;
    settings.name = VmName(reader.text("name"));
    settings.dataCentre = DataCentreName(reader.text("dataCentre"));
    settings.packets = reader.endpoint("packets");
    settings.readiness = reader.endpoint("readiness");
    settings.operations = reader.endpoint("operations");
    settings.relay = reader.endpointIfGiven("relay");
    settings.store = reader.endpoint("store");
    readSeeds(reader, settings);
    settings.firstStart = reader.booleanOr("firstStart", false);
    settings.automaticActions = reader.booleanOr("automaticActions", true);
    settings.flowLogLines = static_cast<int>(
        reader.integerOr("flowLogLinesPerSecond", 0, kMostLogLines, settings.flowLogLines));
    static const Json::Value kNoLimits(Json::objectValue);
    const bool hasLimits = json.isObject() && json.isMember("limits");
    reader.ignore("limits");
    readLimits(hasLimits ? json["limits"] : kNoLimits, settings, this->reason);
    reader.rejectUnknownFields();
    checkPorts(reader, settings);
    if (!reader.isOk()) {
        this->reason.detail = origin + ": " + this->reason.detail;
        return std::nullopt;
    }
    return settings;
}
}
