#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishladder::distribution {
enum class CopyAge : std::uint8_t;

//! Waits for changes: "prefix", "after" (a revision) and "wait_ms".
inline constexpr std::string_view kChangesPath = "/changes";

//! Hands everything under a prefix over: "prefix" and "age" (see listingQuery()).
inline constexpr std::string_view kListingPath = "/listing";

//! Query of a request for a listing, and the age that it names: "new", "polled" or "any".
std::string listingQuery(const std::string &prefix, CopyAge age);
std::optional<CopyAge> parseCopyAge(std::string_view name);

//! Tells whether the store answers: 200 or kStoreLost.
inline constexpr std::string_view kContactPath = "/contact";

//! Status of an answer: the store does not answer the neighbour.
inline constexpr int kStoreLost = 502;

//! Status of an answer: the neighbour does not know, or not all, of what was asked for.
inline constexpr int kCannotTell = 503;
}
