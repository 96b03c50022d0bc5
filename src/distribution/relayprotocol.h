#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishladder::distribution {
enum class SnapshotAge : std::uint8_t;

//! Path that waits for changes; its query has "prefix", "after" (a revision) and "wait_ms".
inline constexpr std::string_view kChangesPath = "/changes";

//! Path that returns all items under a prefix; its query has "prefix" and "age" (see
//! listingQuery()).
inline constexpr std::string_view kListingPath = "/listing";

//! Returns the query of a listing request, in which \a age is "new", "polled" or "any".
std::string listingQuery(const std::string &prefix, SnapshotAge age);

//! Parses the age of a listing request; returns std::nullopt for any other text.
std::optional<SnapshotAge> parseSnapshotAge(std::string_view name);

//! Path that returns whether the store responds to this VM: status 200 or kStoreLost.
inline constexpr std::string_view kConnectivityPath = "/contact";

//! HTTP status: the store does not respond to the queried VM.
inline constexpr int kStoreLost = 502;

//! HTTP status: the queried VM does not have the requested data, or not all of it.
inline constexpr int kUnavailable = 503;
}
