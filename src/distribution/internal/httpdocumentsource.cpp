#include "distribution/httpdocumentsource.h"

#include "distribution/documentserver.h"
#include "distribution/internal/batchcodec.h"
#include "distribution/internal/peerdigest.h"
#include "distribution/types/documentbatch.h"
#include "global/irandom.h"
#include "membership/types/member.h"
#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"

namespace radishladder::distribution {
namespace {
constexpr std::chrono::milliseconds kPullTimeout{1500};
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr int kHttpOk = 200;

std::optional<DocumentBatch> checkedBatch(const net::HttpResult &result, const std::string &nonce,
                                          const PeerDigest &digest, Reason &reason)
{
    reason = result.reason;
    if (reason.code != ResultCode::Ok) {
        return std::nullopt;
    }
    const net::HttpAnswer &answer = result.answer;
    if (answer.status != kHttpOk
        || !digest.isValid(nonce, answer.body,
                           net::headerValue(answer.headers, kPeerDigestHeader))) {
        reason = {ResultCode::MessageUnauthenticated, "status " + std::to_string(answer.status)};
        return std::nullopt;
    }
    auto batch = decodeBatch(answer.body);
    if (!batch) {
        reason = {ResultCode::MessageMalformed, "batch of documents"};
    }
    return batch;
}
}

HttpDocumentSource::HttpDocumentSource(net::IHttpClient &client, IRandom &random,
                                       const std::vector<std::string> &peerKeys)
    : client(client), random(random), digest(std::make_shared<PeerDigest>(peerKeys))
{ }

HttpDocumentSource::~HttpDocumentSource() = default;

void HttpDocumentSource::pull(const membership::Member &from, std::int64_t since,
                              std::int64_t vmListRevision, Handler handler)
{
    const std::string query =
        "since=" + std::to_string(since) + "&vms=" + std::to_string(vmListRevision);
    // The answer repeats nothing of the request but is signed with its nonce: an old one is
    // refused.
    const std::string nonce =
        std::to_string(this->random.next()) + "." + std::to_string(this->random.next());
    net::HttpCall call{.url = "http://" + net::endpointText(from.admin) + DocumentServer::kPath
                           + "?" + query,
                       .timeout = kPullTimeout,
                       .connectTimeout = kConnectTimeout};
    call.headers[std::string(kPeerNonceHeader)] = nonce;
    call.headers[std::string(kPeerDigestHeader)] = this->digest->sign(nonce, query);
    this->client.send(std::move(call),
                      [nonce, digest = this->digest,
                       handler = std::move(handler)](const net::HttpResult &result) {
                          Reason reason;
                          auto batch = checkedBatch(result, nonce, *digest, reason);
                          handler(std::move(batch), std::move(reason));
                      });
}
}
