#pragma once

#include <string_view>

namespace radishladder::distribution {

//! Waits for changes: "prefix", "after" (a revision) and "wait_ms".
inline constexpr std::string_view kChangesPath = "/changes";

//! Hands everything under a prefix over: "prefix" and "stale" (0 or 1).
inline constexpr std::string_view kListingPath = "/listing";
}
