#pragma once

#include <string_view>

namespace radishladder::requests {

//! Key under which a non-idempotent request runs at most once.
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

//! Milliseconds the caller is ready to wait from now on.
inline constexpr std::string_view kDeadlineHeader = "X-Deadline-Ms";

//! Identifier of the request; an upstream repeats it in its answer.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

//! Numbered result code of the outcome, in every answer to a caller.
inline constexpr std::string_view kResultHeader = "X-Radishladder-Result";

//! Set to "not-run" by an upstream that refused a request without running it.
inline constexpr std::string_view kUpstreamRefusalHeader = "X-Refused";

//! Set on a request that one VM has handed to another, which then keeps it.
inline constexpr std::string_view kHopHeader = "X-Radishladder-Hop";

//! Value of the hop header if the sender answers for the request's key.
inline constexpr std::string_view kClaimedHop = "claimed";
}
