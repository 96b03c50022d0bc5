#pragma once

#include "global/reason.h"

#include <json/value.h>
#include <optional>

namespace radishladder::telemetry {
struct Event;
}

namespace radishladder::operations {
struct Explanation;
struct ExplainQuestion;
struct VmStatus;

//! JSON of the operators' calls; readers give std::nullopt with \a reason set on wrong fields.
Json::Value statusJson(const VmStatus &status);
std::optional<VmStatus> readStatus(const Json::Value &json, Reason &reason);

Json::Value eventJson(const telemetry::Event &event);
std::optional<telemetry::Event> readEvent(const Json::Value &json, Reason &reason);

Json::Value explanationJson(const Explanation &explanation);
std::optional<Explanation> readExplanation(const Json::Value &json, Reason &reason);

Json::Value questionJson(const ExplainQuestion &question);
std::optional<ExplainQuestion> readQuestion(const Json::Value &json, Reason &reason);
}
