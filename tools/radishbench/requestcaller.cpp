#include "radishbench/requestcaller.h"

#include "global/resultcode.h"
#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "requests/requestheaders.h"
#include "standins/wire.h"

#include <algorithm>
#include <charconv>

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kPatience{5000};
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr int kMaxConnects = 5;
constexpr int kStatusOk = 200;

//! Result codes by which a VM promises that nothing ran.
constexpr ResultCode kNotRunCodes[] = {
    ResultCode::RequestNotRun,        ResultCode::RequestMalformed,
    ResultCode::RequestTooLarge,      ResultCode::RequestUnknownService,
    ResultCode::RequestKeyMissing,    ResultCode::RequestDeadlinePassed,
    ResultCode::RequestOverload,      ResultCode::RequestStopping,
    ResultCode::RequestHeaderInvalid,
};

ResultCode resultOf(const net::HttpResult &result)
{
    const std::string text = net::headerValue(result.answer.headers, requests::kResultHeader);
    int code = 0;
    std::from_chars(text.data(), text.data() + text.size(), code);
    return static_cast<ResultCode>(code);
}
}

RequestCaller::RequestCaller(net::IHttpClient &client, ChooseVm chooseVm)
    : client(client), chooseVm(std::move(chooseVm))
{ }

void RequestCaller::send(RequestKind kind, const std::string &service, std::size_t bodyBytes)
{
    const std::string number = std::to_string(++this->lastNumber);
    Attempt attempt{.kind = kind,
                    .service = service,
                    .path = "/" + service + "/item/" + number,
                    .startedAt = std::chrono::steady_clock::now()};
    if (kind == RequestKind::Reservation) {
        attempt.key = "reservation-" + number;
        attempt.body = "reserve " + number;
    } else if (kind == RequestKind::Upload) {
        attempt.key = "upload-" + number;
        // A body of its own for each upload, so that two of them cannot be confused.
        attempt.body.assign(bodyBytes, static_cast<char>('a' + this->lastNumber % 26));
        attempt.body.replace(0, std::min(number.size(), bodyBytes), number);
    }
    ++this->countsOf(kind).sent;
    ++this->outstandingCount;
    this->connect(std::move(attempt));
}

void RequestCaller::connect(Attempt attempt)
{
    ++attempt.connects;
    net::HttpCall call{.method = attempt.kind == RequestKind::Lookup ? "GET" : "POST",
                       .url = "http://" + net::endpointText(this->chooseVm()) + attempt.path,
                       .headers = {{"Host", attempt.service}},
                       .body = attempt.body,
                       .timeout = kPatience,
                       .connectTimeout = kConnectTimeout};
    call.headers[std::string(requests::kDeadlineHeader)] = std::to_string(kPatience.count());
    if (!attempt.key.empty()) {
        call.headers[std::string(requests::kIdempotencyKeyHeader)] = attempt.key;
    }
    this->client.send(
        std::move(call), [this, attempt = std::move(attempt)](const net::HttpResult &result) {
            const bool isUnconnected = result.reason.code != ResultCode::Ok && !result.anythingSent;
            // A connection that no VM took is tried again by the caller's TCP, through any VM.
            if (isUnconnected && attempt.connects < kMaxConnects) {
                this->connect(attempt);
                return;
            }
            --this->outstandingCount;
            this->judge(attempt, result);
        });
}

void RequestCaller::judge(const Attempt &attempt, const net::HttpResult &result)
{
    Counts &counts = this->countsOf(attempt.kind);
    if (result.reason.code != ResultCode::Ok) {
        ++(result.anythingSent ? counts.cut : counts.unreachable);
        return;
    }
    if (result.answer.status != kStatusOk) {
        this->judgeRefusal(attempt, result);
        return;
    }
    if (result.answer.body != standins::expectedAnswer(attempt.path, attempt.body)) {
        ++counts.bad;
        return;
    }
    ++counts.answered;
    if (attempt.kind != RequestKind::Upload) {
        this->answerTimes.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now() - attempt.startedAt));
    }
}

void RequestCaller::judgeRefusal(const Attempt &attempt, const net::HttpResult &result)
{
    const ResultCode code = resultOf(result);
    ++this->byCode[static_cast<int>(code)];
    Counts &counts = this->countsOf(attempt.kind);
    if (std::ranges::count(kNotRunCodes, code) == 0) {
        ++counts.failed;
        return;
    }
    ++counts.refused;
    if (!attempt.key.empty()) {
        this->refused.insert(attempt.key);
    }
}

const RequestCaller::Counts &RequestCaller::counts(RequestKind kind) const
{
    return this->byKind[static_cast<std::size_t>(kind)];
}

RequestCaller::Counts &RequestCaller::countsOf(RequestKind kind)
{
    return this->byKind[static_cast<std::size_t>(kind)];
}

RequestCaller::Counts RequestCaller::total() const
{
    Counts sum;
    for (const Counts &counts : this->byKind) {
        sum.sent += counts.sent;
        sum.answered += counts.answered;
        sum.bad += counts.bad;
        sum.refused += counts.refused;
        sum.failed += counts.failed;
        sum.cut += counts.cut;
        sum.unreachable += counts.unreachable;
    }
    return sum;
}
}
