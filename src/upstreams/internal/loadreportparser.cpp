#include "upstreams/internal/loadreportparser.h"

#include "net/types/httpanswer.h"

#include <json/json.h>
#include <memory>

namespace radishladder::upstreams {
namespace {
constexpr int kUnavailable = 503;

ReportedState parseState(const std::string &text)
{
    if (text == "starting") {
        return ReportedState::Starting;
    }
    if (text == "shedding") {
        return ReportedState::Shedding;
    }
    return text == "leaving" ? ReportedState::Leaving : ReportedState::Ready;
}

int wholeNumber(const Json::Value &object, const char *name)
{
    const Json::Value &value = object[name];
    return value.isInt() ? value.asInt() : 0;
}
}

LoadReport parseLoadReport(const net::HttpAnswer &answer)
{
    LoadReport report{.state = ReportedState::Ready};
    if (answer.status == kUnavailable) {
        report.state = ReportedState::Shedding;
    }
    Json::Value root;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    const char *begin = answer.body.data();
    if (!reader->parse(begin, begin + answer.body.size(), &root, nullptr) || !root.isObject()
        || !root["state"].isString()) {
        return report;
    }
    report.state = parseState(root["state"].asString());
    report.running = wholeNumber(root, "running");
    report.slots = wholeNumber(root, "slots");
    report.connections = wholeNumber(root, "connections");
    return report;
}
}
