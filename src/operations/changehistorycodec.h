#pragma once

#include "global/reason.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace radishladder::operations {
struct ChangeHistory;
struct ChangeRecord;

Json::Value changeJson(const ChangeRecord &change);

//! Text of \a history as the store keeps it.
std::string historyText(const ChangeHistory &history);

//! std::nullopt with \a reason set if \a text is malformed.
std::optional<ChangeHistory> readHistory(const std::string &text, Reason &reason);
}
