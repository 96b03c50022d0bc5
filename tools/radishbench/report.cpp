#include "radishbench/report.h"

#include "global/reason.h"
#include "radishbench/runcommand.h"
#include "settings/jsonfile.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace radishladder::radishbench {
namespace {
bool writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream stream(path);
    stream << text;
    stream.flush();
    if (!stream.good()) {
        std::cerr << "radishbench: cannot write " << path.string() << '\n';
    }
    return stream.good();
}

bool isResult(const Json::Value &json)
{
    return json.isObject() && json["scenario"].isString() && json["bounds"].isArray()
        && json["series"].isObject();
}
}

int writeReport(const std::vector<std::string> &files, const std::string &directory,
                const std::string &commit)
{
    std::vector<Json::Value> results;
    for (const std::string &file : files) {
        Reason reason;
        auto json = settings::readJsonFile(file, reason);
        if (!json || !isResult(*json)) {
            std::cerr << "radishbench: " << file << " is no result of a run " << reason.detail
                      << '\n';
            return kExitBadUse;
        }
        results.push_back(std::move(*json));
    }
    const std::filesystem::path target(directory);
    std::error_code error;
    std::filesystem::create_directories(target / "results", error);
    bool isWritten = writeFile(target / "RESULTS.md", resultsPage(results, commit));
    for (const Json::Value &result : results) {
        isWritten =
            writeFile(target / "results" / plotName(result), resultPlot(result)) && isWritten;
    }
    return isWritten ? kExitHeld : kExitBadUse;
}
}
