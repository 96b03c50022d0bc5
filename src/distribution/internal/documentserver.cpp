#include "distribution/documentserver.h"

#include "distribution/documentfeed.h"
#include "distribution/internal/batchcodec.h"
#include "distribution/internal/peerdigest.h"
#include "distribution/types/documentbatch.h"
#include "global/resultcode.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"

#include <charconv>
#include <optional>

namespace radishladder::distribution {
namespace {
constexpr int kHttpBadRequest = 400;
constexpr int kHttpForbidden = 403;

net::HttpAnswer refusal(int status, ResultCode code)
{
    return {.status = status,
            .body = std::to_string(static_cast<int>(code)) + " " + std::string(resultCodeName(code))
                + "\n"};
}

std::optional<std::int64_t> parameter(std::string_view query, std::string_view name)
{
    const auto at = query.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view text = query.substr(at + name.size());
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() ? std::make_optional(number) : std::nullopt;
}
}

DocumentServer::DocumentServer(const DocumentFeed &feed, const std::vector<std::string> &peerKeys)
    : feed(feed), digest(std::make_unique<PeerDigest>(peerKeys))
{ }

DocumentServer::~DocumentServer() = default;

net::HttpAnswer DocumentServer::answer(const net::HttpRequest &request) const
{
    const std::string nonce = net::headerValue(request.headers, kPeerNonceHeader);
    // Servers differ in whether the query keeps its question mark.
    const std::string query =
        request.query.starts_with('?') ? request.query.substr(1) : request.query;
    if (!this->digest->isValid(nonce, query,
                               net::headerValue(request.headers, kPeerDigestHeader))) {
        return refusal(kHttpForbidden, ResultCode::MessageUnauthenticated);
    }
    const auto since = parameter(query, "since=");
    const auto vmList = parameter(query, "vms=");
    if (!since || !vmList) {
        return refusal(kHttpBadRequest, ResultCode::MessageMalformed);
    }
    net::HttpAnswer answer;
    answer.body = encodeBatch(this->feed.batchAfter(*since, *vmList));
    answer.headers["Content-Type"] = "application/msgpack";
    answer.headers[std::string(kPeerDigestHeader)] = this->digest->sign(nonce, answer.body);
    return answer;
}
}
