#include "radishbench/resultwriter.h"

#include "radishbench/types/measures.h"

#include <iomanip>
#include <sstream>

namespace radishladder::radishbench {
namespace {
constexpr int kNameWidth = 40;
constexpr int kValueWidth = 14;

Json::Value json(std::uint64_t value)
{
    return static_cast<Json::UInt64>(value);
}

Json::Value json(const std::optional<double> &value)
{
    return value ? Json::Value(*value) : Json::Value();
}

Json::Value json(const std::optional<std::uint64_t> &value)
{
    return value ? json(*value) : Json::Value();
}

void addFlows(Json::Value &result, const Measures &measures)
{
    result["flows"] = json(measures.flows);
    result["flows_not_opened"] = json(measures.flowsNotOpened);
    result["broken_flows"] = json(measures.brokenFlows);
    result["broken_with_killed_upstream"] = json(measures.brokenWithUpstream);
    result["broken_by_cause"] = Json::Value(Json::objectValue);
    for (const auto &[cause, count] : measures.brokenByCause) {
        result["broken_by_cause"][cause] = json(count);
    }
    result["given_up_flows"] = json(measures.givenUpFlows);
    result["misdelivered"] = json(measures.misdelivered);
    result["imbalance_max_over_mean"] = json(measures.imbalance);
}

void addRequests(Json::Value &result, const Measures &measures)
{
    result["requests"] = json(measures.requests);
    result["lookups"] = json(measures.lookups);
    result["uploads"] = json(measures.uploads);
    result["run_twice"] = json(measures.runTwice);
    result["false_not_run"] = json(measures.falseNotRun);
    result["bad_answers"] = json(measures.badAnswers);
    result["cut_requests"] = json(measures.cutRequests);
    result["answers_by_code"] = Json::Value(Json::objectValue);
    for (const auto &[code, count] : measures.answersByCode) {
        result["answers_by_code"][std::to_string(code)] = json(count);
    }
    result["answered_ratio_non_idempotent"] = json(measures.answeredRatioNonIdempotent);
    result["refused_requests"] = json(measures.refusedRequests);
    result["failed_requests"] = json(measures.failedRequests);
    result["unreachable_requests"] = json(measures.unreachableRequests);
    result["answered_ratio"] = json(measures.answeredRatio);
    result["answered_ratio_uploads"] = json(measures.answeredRatioUploads);
    result["goodput_over_capacity"] = json(measures.goodputOverCapacity);
    result["answered_p50_ms"] = json(measures.answeredP50Ms);
    result["answered_p99_ms"] = json(measures.answeredP99Ms);
    result["cold_overload"] = json(measures.coldOverload);
    result["cold_overload_unwarned"] = json(measures.unwarnedOverload);
}

void addOperations(Json::Value &result, const Measures &measures)
{
    result["seconds_to_last_packet"] = json(measures.secondsToLastPacket);
    result["seconds_to_last_request"] = json(measures.secondsToLastRequest);
    result["seconds_to_last_relay"] = json(measures.secondsToLastRelay);
    result["seconds_to_last_new_work"] = json(measures.secondsToLastNewWork);
    result["seconds_to_config"] = json(measures.secondsToConfig);
    result["config_reverted"] = json(measures.configReverted);
    result["control_bytes_per_vm_s"] = json(measures.controlBytesPerVmSecond);
    result["control_bytes_per_vm_s_idle"] = json(measures.controlBytesPerVmSecondIdle);
    result["control_datagrams_per_vm_s"] = json(measures.controlDatagramsPerVmSecond);
    result["store_calls_per_s"] = json(measures.storeCallsPerSecond);
    result["cpu_core_percent"] = json(measures.cpuCorePercent);
    result["cpu_core_percent_loaded"] = json(measures.cpuCorePercentLoaded);
    result["rss_mb"] = json(measures.rssMegabytes);
    result["vms_restarted"] = json(measures.vmsRestarted);
}

const Json::Value *findBound(const Json::Value &bounds, const std::string &name)
{
    for (const Json::Value &bound : bounds) {
        if (bound["name"].asString() == name) {
            return &bound;
        }
    }
    return nullptr;
}

std::string cell(const Json::Value &value)
{
    if (value.isNull()) {
        return "-";
    }
    std::ostringstream text;
    text << std::setprecision(5);
    if (value.isDouble()) {
        text << value.asDouble();
    } else {
        text << value.asString();
    }
    return text.str();
}

void writeRow(std::ostream &stream, const std::string &name, const Json::Value &value,
              const Json::Value *bound)
{
    stream << std::left << std::setw(kNameWidth) << name << std::right << std::setw(kValueWidth)
           << cell(value);
    if (bound != nullptr) {
        stream << std::setw(kValueWidth) << cell((*bound)["bound"]) << "  "
               << ((*bound)["holds"].asBool() ? "held" : "MISSED");
    }
    stream << '\n';
}
}

Json::Value measuresJson(const Measures &measures, const std::vector<Bound> &bounds)
{
    Json::Value result(Json::objectValue);
    addFlows(result, measures);
    addRequests(result, measures);
    addOperations(result, measures);
    result["bounds"] = Json::Value(Json::arrayValue);
    for (const Bound &bound : bounds) {
        Json::Value item(Json::objectValue);
        item["name"] = bound.name;
        item["bound"] = bound.bound;
        item["value"] = bound.value;
        item["holds"] = bound.holds;
        result["bounds"].append(item);
    }
    return result;
}

std::string measuresTable(const Json::Value &result)
{
    std::ostringstream stream;
    stream << std::left << std::setw(kNameWidth) << "measure" << std::right
           << std::setw(kValueWidth) << "value" << std::setw(kValueWidth) << "bound" << '\n';
    for (const std::string &name : result.getMemberNames()) {
        const Json::Value &value = result[name];
        if (!value.isObject() && !value.isArray()) {
            writeRow(stream, name, value, findBound(result["bounds"], name));
        }
    }
    for (const Json::Value &bound : result["bounds"]) {
        if (!result.isMember(bound["name"].asString())) {
            writeRow(stream, bound["name"].asString(), bound["value"], &bound);
        }
    }
    return stream.str();
}
}
