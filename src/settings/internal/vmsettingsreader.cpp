#include "settings/vmsettingsreader.h"

#include "settings/fieldreader.h"
#include "settings/jsonfile.h"

namespace radishladder::settings {
namespace {
constexpr std::int64_t kMaxDurationMs = 3'600'000;
constexpr std::int64_t kMinStoreRecoveryMs = 2'000;
constexpr std::int64_t kMaxDurationSeconds = 86'400;
constexpr std::int64_t kMaxMemoryMb = 1'000'000;
constexpr double kMinLinkMbps = 0.001;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr std::int64_t kMaxRatePerSecond = 100'000;
constexpr double kMaxWarmupOverage = 100;

void readLimits(const Json::Value &json, VmSettings &settings, Reason &reason)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    FieldReader reader(json, "/limits", reason);
    settings.maxDrainDelay = milliseconds(
        reader.integerOr("drainMs", 1, kMaxDurationMs, settings.maxDrainDelay.count()));
    settings.maxConfigurationDelay = milliseconds(reader.integerOr(
        "configurationMs", 1, kMaxDurationMs, settings.maxConfigurationDelay.count()));
    settings.maxEvacuationDelay = milliseconds(
        reader.integerOr("evacuationMs", 1, kMaxDurationMs, settings.maxEvacuationDelay.count()));
    settings.maxStoreRecovery = milliseconds(reader.integerOr(
        "storeRecoveryMs", kMinStoreRecoveryMs, kMaxDurationMs, settings.maxStoreRecovery.count()));
    settings.maxFlowLifetime = seconds(reader.integerOr("flowMaxSeconds", 1, kMaxDurationSeconds,
                                                        settings.maxFlowLifetime.count()));
    settings.stop =
        seconds(reader.integerOr("stopSeconds", 1, kMaxDurationSeconds, settings.stop.count()));
    settings.warmupOverage =
        reader.numberOr("warmupOverage", 0, kMaxWarmupOverage, settings.warmupOverage);
    settings.warmupSlack = static_cast<int>(
        reader.integerOr("warmupSlack", 0, kMaxRatePerSecond, settings.warmupSlack));
    settings.linkMbps = static_cast<int>(
        reader.numberOr("linkMbps", kMinLinkMbps, kMaxLinkMbps, settings.linkMbps));
    settings.memoryMb =
        static_cast<int>(reader.integerOr("memoryMb", 1, kMaxMemoryMb, settings.memoryMb));
    reader.rejectUnknownFields();
}

void readSeeds(FieldReader &reader, VmSettings &settings)
{
    for (const Json::Value &entry : reader.array("seeds", false)) {
        const auto seed = entry.isString() ? net::parseEndpoint(entry.asString()) : std::nullopt;
        if (!seed || seed->port == 0) {
            reader.fail(
                ResultCode::FieldType, "seeds",
                "has an entry that is not an IPv4 address and port (ADDRESS:PORT) or has port 0");
            return;
        }
        // Skips this VM if it is in the list: it has no cached store content of its own at its
        // start.
        if (seed != settings.relay) {
            settings.seeds.push_back(*seed);
        }
    }
}

void rejectPortZero(FieldReader &reader, const VmSettings &settings)
{
    const std::pair<const char *, net::Endpoint> endpoints[] = {{"packets", settings.packets},
                                                                {"readiness", settings.readiness},
                                                                {"operations", settings.operations},
                                                                {"store", settings.store}};
    for (const auto &[field, endpoint] : endpoints) {
        if (endpoint.port == 0) {
            reader.fail(ResultCode::FieldRange, field, "must not have port 0");
        }
    }
    if (settings.relay && settings.relay->port == 0) {
        reader.fail(ResultCode::FieldRange, "relay", "must not have port 0");
    }
    if (settings.peers && settings.peers->port == 0) {
        reader.fail(ResultCode::FieldRange, "peers", "must not have port 0");
    }
}
}

std::optional<VmSettings> VmSettingsReader::read(const std::string &path)
{
    this->reason = {};
    const auto json = readJsonFile(path, this->reason);
    return json ? this->fromJson(*json, path) : std::nullopt;
}

std::optional<VmSettings> VmSettingsReader::parse(const std::string &text,
                                                  const std::string &origin)
{
    this->reason = {};
    const auto json = parseJson(text, origin, this->reason);
    return json ? this->fromJson(*json, origin) : std::nullopt;
}

std::optional<VmSettings> VmSettingsReader::fromJson(const Json::Value &json,
                                                     const std::string &origin)
{
    FieldReader reader(json, "", this->reason);
    VmSettings settings;
    settings.name = VmName(reader.text("name"));
    settings.dataCentre = DataCentreName(reader.text("dataCentre"));
    settings.packets = reader.endpoint("packets");
    settings.readiness = reader.endpoint("readiness");
    settings.operations = reader.endpoint("operations");
    settings.relay = reader.optionalEndpoint("relay");
    settings.peers = reader.optionalEndpoint("peers");
    settings.store = reader.endpoint("store");
    readSeeds(reader, settings);
    settings.isFirstStart = reader.booleanOr("firstStart", false);
    settings.allowsAutomaticActions = reader.booleanOr("automaticActions", true);
    settings.flowLogLinesPerSecond = static_cast<int>(reader.integerOr(
        "flowLogLinesPerSecond", 0, kMaxRatePerSecond, settings.flowLogLinesPerSecond));
    static const Json::Value kNoLimits(Json::objectValue);
    const bool hasLimits = json.isObject() && json.isMember("limits");
    reader.markKnown("limits");
    readLimits(hasLimits ? json["limits"] : kNoLimits, settings, this->reason);
    reader.rejectUnknownFields();
    rejectPortZero(reader, settings);
    if (!reader.isOk()) {
        this->reason.detail = origin + ": " + this->reason.detail;
        return std::nullopt;
    }
    return settings;
}
}
