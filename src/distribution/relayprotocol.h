#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishladder::distribution {
enum class SnapshotAge : std::uint8_t;
struct RelayEra;
struct SnapshotOffer;

//! Path of requests that wait for changes; their query has "prefix", "after" (a revision),
//! "wait_ms" and "era".
inline constexpr std::string_view kChangesPath = "/changes";

//! Path of requests for all items under a prefix; their query has "prefix", "age" and "era" (see
//! listingQuery()).
inline constexpr std::string_view kListingPath = "/listing";

//! Query field of both requests: "deflate" if the sender accepts compressed responses.
inline constexpr const char *kEncodingField = "encoding";
inline constexpr const char *kCompressedEncoding = "deflate";

//! Query field of both requests: the era of the store whose data the sender needs; "any" if the
//! sender knows no era yet; absent if the sender is of a release that knows no eras. A VM whose own
//! era differs responds kUnavailable.
inline constexpr const char *kEraField = "era";

//! Returns the query of a listing request, in which \a age is "new", "polled" or "any".
std::string listingQuery(const std::string &prefix, SnapshotAge age, const RelayEra &era);

//! Returns the query of a request for the changes under \a prefix after \a after.
std::string changesQuery(const std::string &prefix, std::uint64_t after,
                         std::chrono::milliseconds wait, const RelayEra &era);

//! Parses the era of a request, which is empty if the request has none; returns std::nullopt for
//! any other text.
std::optional<RelayEra> parseRelayEra(const std::string &text);

//! Parses the age of a listing request; returns std::nullopt for any other text.
std::optional<SnapshotAge> parseSnapshotAge(std::string_view name);

//! Path of requests for the queried VM's connectivity to the store: the response has status 200 if
//! the store responds to that VM, otherwise kStoreLost.
inline constexpr std::string_view kConnectivityPath = "/contact";

//! Path of offers: the sender cannot reach the store and offers its snapshots to a VM that may have
//! restarted. The query has "address" (the sender's relay address), "age_ms" (time since the
//! sender last received data of the store) and "era" (the era of its snapshots). The response has
//! status 200 if the receiver will request the snapshots, otherwise kNotNeeded.
inline constexpr std::string_view kOfferPath = "/offer";

//! Returns the query of an offer.
std::string offerQuery(const SnapshotOffer &offer);

//! Parses the query of an offer; returns std::nullopt if it is malformed.
std::optional<SnapshotOffer> parseOfferQuery(const std::string &query);

//! HTTP status: the receiver of an offer has the snapshots already.
inline constexpr int kNotNeeded = 409;

//! HTTP status: the store does not respond to the queried VM.
inline constexpr int kStoreLost = 502;

//! HTTP status: the queried VM does not have the requested data, or not all of it.
inline constexpr int kUnavailable = 503;
}
