#pragma once

#include <string_view>

namespace radishladder::distribution {

//! Waits for changes: "prefix", "after" (a revision) and "wait_ms".
inline constexpr std::string_view kChangesPath = "/changes";

//! Hands everything under a prefix over: "prefix" and "stale" (0 or 1).
inline constexpr std::string_view kListingPath = "/listing";

//! Tells whether the store answers: 200 or kStoreLost.
inline constexpr std::string_view kContactPath = "/contact";

//! Status of an answer: the store does not answer the neighbour.
inline constexpr int kStoreLost = 502;

//! Status of an answer: the neighbour does not know, or not all, of what was asked for.
inline constexpr int kCannotTell = 503;
}
