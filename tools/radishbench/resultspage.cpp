#include "radishbench/report.h"

#include <sstream>

namespace radishladder::radishbench {
namespace {
constexpr int kPrecision = 4;

std::string numberText(const Json::Value &value)
{
    std::ostringstream text;
    text.precision(kPrecision);
    text << value.asDouble();
    return text.str();
}

std::string boundText(const Json::Value &bound)
{
    return bound["name"].asString() + " " + numberText(bound["value"]) + " (bound "
        + numberText(bound["bound"]) + ")";
}

int missedCount(const Json::Value &result)
{
    int missed = 0;
    for (const Json::Value &bound : result["bounds"]) {
        missed += bound["holds"].asBool() ? 0 : 1;
    }
    return missed;
}

void writeSummaryRow(std::ostream &stream, const Json::Value &result)
{
    std::string missed;
    for (const Json::Value &bound : result["bounds"]) {
        if (!bound["holds"].asBool()) {
            missed += (missed.empty() ? "" : "; ") + boundText(bound);
        }
    }
    stream << "| " << result["scenario"].asString() << " | " << result["deployment"].asString()
           << " | " << result["flow_mechanism"].asString() << " | "
           << result["request_mechanism"].asString() << " | " << result["seed"].asString() << " | "
           << result["flows"].asString() << " | " << result["broken_flows"].asString() << " | "
           << result["given_up_flows"].asString() << " | " << result["requests"].asString() << " | "
           << (missed.empty() ? "all held" : "**missed:** " + missed) << " |\n";
}

void writeRun(std::ostream &stream, const Json::Value &result)
{
    stream << "### " << result["scenario"].asString() << ", " << result["deployment"].asString()
           << ", " << result["flow_mechanism"].asString() << ", seed " << result["seed"].asString()
           << "\n\n    " << runCommandText(result)
           << "\n\n| measure | value | bound | |\n|---|---|---|---|\n";
    for (const Json::Value &bound : result["bounds"]) {
        stream << "| " << bound["name"].asString() << " | " << numberText(bound["value"]) << " | "
               << numberText(bound["bound"]) << " | "
               << (bound["holds"].asBool() ? "held" : "**missed**") << " |\n";
    }
    for (const std::string &name : result.getMemberNames()) {
        bool isBound = false;
        for (const Json::Value &bound : result["bounds"]) {
            isBound = isBound || bound["name"].asString() == name;
        }
        if (result[name].isNumeric() && !isBound) {
            stream << "| " << name << " | " << numberText(result[name]) << " | | |\n";
        }
    }
    stream << "\n![" << plotName(result) << "](results/" << plotName(result) << ")\n\n";
}
}

std::string runCommandText(const Json::Value &result)
{
    std::string text = "radishbench run " + result["scenario"].asString() + " --deployment="
        + result["deployment"].asString() + " --seed=" + result["seed"].asString()
        + " --duration=" + numberText(result["duration_s"]) + "s --vms=" + result["vms"].asString()
        + " --flow-mechanism=" + result["flow_mechanism"].asString()
        + " --request-mechanism=" + result["request_mechanism"].asString();
    for (const Json::Value &fault : result["extra_faults"]) {
        text += " --fault='" + fault.asString() + "'";
    }
    return text;
}

std::string resultsPage(const std::vector<Json::Value> &results, const std::string &commit)
{
    std::ostringstream page;
    int missed = 0;
    for (const Json::Value &result : results) {
        missed += missedCount(result) > 0 ? 1 : 0;
    }
    page << "# Results\n\nWritten by `radishbench report`. Commit " << commit << ". "
         << results.size() << " runs, " << missed
         << " of them with a missed bound. A measure without a bound does not belong to a promise "
            "of "
            "that scenario.\n\n"
            "| scenario | deployment | flows by | requests by | seed | flows | broken | given up | "
            "requests | bounds |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for (const Json::Value &result : results) {
        writeSummaryRow(page, result);
    }
    page << "\n## Runs\n\n";
    for (const Json::Value &result : results) {
        writeRun(page, result);
    }
    return page.str();
}
}
