#include "requests/internal/attemptoutcome.h"

#include "net/types/httpresult.h"
#include "requests/requestheaders.h"

namespace radishladder::requests {
namespace {
using upstreams::Observation;

constexpr int kUnavailable = 503;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::string_view kNotRun = "not-run";

bool isCut(const net::HttpAnswer &answer, const std::string &method)
{
    const bool hasNoBody =
        method == "HEAD" || answer.status == kNoContent || answer.status == kNotModified;
    const std::string length = net::headerValue(answer.headers, "Content-Length");
    return !hasNoBody && !length.empty() && length != std::to_string(answer.body.size());
}

AttemptOutcome judgeMissing(const net::HttpResult &result)
{
    if (!result.anythingSent) {
        return {AttemptOutcome::Kind::NotRun, Observation::Refused, result.reason.detail};
    }
    const bool isTimeout = result.reason.code == ResultCode::StoreTimeout;
    return {AttemptOutcome::Kind::Unknown, isTimeout ? Observation::Silent : Observation::Cut,
            result.reason.detail};
}
}

AttemptOutcome judgeAttempt(const net::HttpResult &result, const std::string &requestId,
                            const std::string &method)
{
    if (result.reason.code != ResultCode::Ok) {
        return judgeMissing(result);
    }
    const net::HttpAnswer &answer = result.answer;
    // A refusal is believed only if it names this request: a crossed one is another request's.
    if (net::headerValue(answer.headers, kRequestIdHeader) != requestId) {
        const bool isRefusal = answer.status == kUnavailable
            && net::headerValue(answer.headers, kUpstreamRefusalHeader) == kNotRun
            && !answer.headers.contains(kRequestIdHeader);
        if (!isRefusal) {
            return {AttemptOutcome::Kind::Unknown, Observation::Cut,
                    "the answer belongs to another request"};
        }
    }
    if (answer.status == kUnavailable
        && net::headerValue(answer.headers, kUpstreamRefusalHeader) == kNotRun) {
        return {AttemptOutcome::Kind::NotRun, Observation::Shed, "refused by the upstream"};
    }
    if (isCut(answer, method)) {
        return {AttemptOutcome::Kind::Unknown, Observation::Cut, "the answer was cut short"};
    }
    return {AttemptOutcome::Kind::Whole, Observation::Answered, {}};
}
}
