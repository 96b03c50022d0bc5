#include "requests/requestengine.h"

#include "global/iclock.h"
#include "global/irandom.h"
#include "membership/imembership.h"
#include "membership/types/member.h"
#include "net/ihttpclient.h"
#include "net/ihttpresponder.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "requests/internal/enginestate.h"
#include "requests/requestheaders.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"
#include "upstreams/islotholders.h"
#include "upstreams/iupstreams.h"

#include <algorithm>
#include <array>

namespace radishladder::requests {
namespace {
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using upstreams::Observation;

constexpr std::array<const char *, 8> kHopByHopHeaders = {
    "Connection", "Content-Length",    "Expect", "Keep-Alive", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

//! A shorter wait than this says nothing about the upstream.
constexpr milliseconds kShortWait{1000};
constexpr int kLatencyWeight = 8;

//! True if \a code says that the request that it answers has not run.
bool meansNotRun(ResultCode code)
{
    constexpr std::array kCodes = {
        ResultCode::RequestNotRun,         ResultCode::RequestOverload,
        ResultCode::RequestDeadlinePassed, ResultCode::RequestStopping,
        ResultCode::RequestMalformed,      ResultCode::RequestTooLarge,
        ResultCode::RequestUnknownService, ResultCode::RequestHeaderInvalid};
    return std::ranges::find(kCodes, code) != kCodes.end();
}

const settings::Service *findService(const settings::Configuration &configuration,
                                     const ServiceName &name)
{
    const auto found = std::ranges::find(configuration.services, name, &settings::Service::name);
    return found == configuration.services.end() ? nullptr : &*found;
}
}

void RequestEngine::State::place(const JobPointer &job)
{
    const TimePoint now = this->parts.clock.now();
    if (job->deadline - now <= this->options.hopAllowance) {
        this->endUnanswered(job, ResultCode::RequestDeadlinePassed, "no time left");
        return;
    }
    if (this->queue.ahead(*job) == 0 && this->start(job)) {
        return;
    }
    const auto configuration = this->parts.source.current();
    const settings::Service *service = findService(*configuration, job->service.name);
    const auto waiting = static_cast<int>(this->queue.ahead(*job));
    const bool isBehind = service == nullptr || waiting >= this->ownSlots(*service);
    const bool mayHandOver = job->key || !job->wasHandedOver;
    if (isBehind && mayHandOver && !job->wasSent) {
        const std::optional<VmName> holder = this->holderElsewhere(*job);
        if (holder) {
            this->handOver(job, *holder);
            return;
        }
    }
    this->enqueue(job);
}

bool RequestEngine::State::start(const JobPointer &job)
{
    const auto configuration = this->parts.source.current();
    const settings::Service *service = findService(*configuration, job->service.name);
    if (service == nullptr || service->upstreams.empty()) {
        return false;
    }
    const std::size_t count = service->upstreams.size();
    const std::size_t first = this->parts.random.next() % count;
    const TimePoint now = this->parts.clock.now();
    for (std::size_t i = 0; i < count; ++i) {
        const settings::Upstream &upstream = service->upstreams[(first + i) % count];
        const bool isUsable = upstream.http.port != 0 && !job->tried.contains(upstream.name);
        if (isUsable && this->parts.upstreams.admitRequest(upstream.name, now)) {
            this->send(job, upstream);
            return true;
        }
    }
    return false;
}

int RequestEngine::State::ownSlots(const settings::Service &service) const
{
    const VmName &self = this->parts.membership.self();
    return static_cast<int>(
        std::ranges::count_if(service.upstreams, [&](const settings::Upstream &upstream) {
            const std::vector<VmName> holders = this->parts.holders.holders(upstream.name);
            return std::ranges::find(holders, self) != holders.end();
        }));
}

std::optional<VmName> RequestEngine::State::holderElsewhere(const Job &job)
{
    const auto configuration = this->parts.source.current();
    const settings::Service *service = findService(*configuration, job.service.name);
    if (service == nullptr) {
        return std::nullopt;
    }
    std::vector<VmName> candidates;
    for (const settings::Upstream &upstream : service->upstreams) {
        for (const VmName &holder : this->parts.holders.holders(upstream.name)) {
            const membership::Member *member = this->parts.membership.find(holder);
            const bool isAlive =
                member != nullptr && member->state == membership::MemberState::Alive;
            if (isAlive && holder != this->parts.membership.self()) {
                candidates.push_back(holder);
            }
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[this->parts.random.next() % candidates.size()];
}

void RequestEngine::State::enqueue(const JobPointer &job)
{
    if (this->isHopeless(*job, this->parts.clock.now())) {
        this->endUnanswered(job, ResultCode::RequestOverload, "the wait would exceed the deadline");
        return;
    }
    const JobPointer evicted = this->queue.push(job);
    if (evicted) {
        this->endUnanswered(evicted, ResultCode::RequestOverload, "the queue is full");
    }
}

bool RequestEngine::State::isHopeless(const Job &job, TimePoint now) const
{
    const auto configuration = this->parts.source.current();
    const settings::Service *service = findService(*configuration, job.service.name);
    if (service == nullptr || this->smoothedService.count() == 0) {
        return false;
    }
    const int slots = std::max(this->ownSlots(*service), 1);
    const auto ahead = static_cast<int>(this->queue.ahead(job)) + 1;
    const milliseconds expected = this->smoothedService * (ahead / slots + 1);
    return now + expected > job.deadline;
}

void RequestEngine::State::serveQueue(TimePoint now)
{
    const auto late = this->queue.removeIf(
        [&](const Job &job) { return job.deadline - now <= this->options.hopAllowance; });
    for (const JobPointer &job : late) {
        this->endUnanswered(job, ResultCode::RequestDeadlinePassed, "no slot became free in time");
    }
    this->queue.offer([this](const JobPointer &job) { return this->start(job); });
}

net::HttpCall RequestEngine::State::callFor(const Job &job, const std::string &target,
                                            TimePoint now) const
{
    const auto left = duration_cast<milliseconds>(job.deadline - now) - this->options.hopAllowance;
    net::HttpCall call{.method = job.request.method,
                       .url = "http://" + target + job.request.path + job.request.query,
                       .headers = job.request.headers,
                       .body = job.request.body,
                       .timeout = left};
    // A kept connection that closes without an answer makes libcurl send the request again on its
    // own.
    call.freshConnection = !job.isIdempotent;
    for (const char *name : kHopByHopHeaders) {
        call.headers.erase(name);
    }
    call.headers[std::string(kDeadlineHeader)] = std::to_string(left.count());
    call.headers[std::string(kRequestIdHeader)] = job.id;
    return call;
}

void RequestEngine::State::send(const JobPointer &job, const settings::Upstream &upstream)
{
    const TimePoint now = this->parts.clock.now();
    job->upstream = upstream.name;
    job->tried.insert(upstream.name);
    job->sentAt = now;
    net::HttpCall call = this->callFor(*job, net::endpointText(upstream.http), now);
    call.headers.erase(std::string(kHopHeader));
    job->call =
        this->parts.client.send(std::move(call), [this, job](const net::HttpResult &result) {
            this->finishAttempt(job, result);
        });
}

void RequestEngine::State::finishAttempt(const JobPointer &job, const net::HttpResult &result)
{
    job->call.reset();
    const TimePoint now = this->parts.clock.now();
    const auto latency = duration_cast<milliseconds>(now - job->sentAt);
    AttemptOutcome outcome = judgeAttempt(result, job->id, job->request.method);
    const bool wasShort = outcome.observation == Observation::Silent && latency < kShortWait;
    this->parts.upstreams.requestEnded(
        job->upstream, wasShort ? Observation::Cancelled : outcome.observation, latency, now);
    if (outcome.kind == AttemptOutcome::Kind::Whole) {
        this->smoothedService += (latency - this->smoothedService) / kLatencyWeight;
        net::HttpAnswer answer = result.answer;
        for (const char *name : kHopByHopHeaders) {
            answer.headers.erase(name);
        }
        this->answer(job, std::move(answer), ResultCode::RequestAnswered);
    } else {
        job->wasSent = job->wasSent || outcome.kind == AttemptOutcome::Kind::Unknown;
        this->retryOrEnd(job, outcome);
    }
    this->serveQueue(now);
}

void RequestEngine::State::retryOrEnd(const JobPointer &job, const AttemptOutcome &outcome)
{
    if (!job->isIdempotent) {
        this->end(job, job->wasSent ? ResultCode::RequestOutcomeUnknown : ResultCode::RequestNotRun,
                  outcome.detail);
        return;
    }
    const bool hasTime = job->deadline - this->parts.clock.now() > 2 * this->options.hopAllowance;
    if (hasTime && this->hasUntried(*job) && this->retries.take()) {
        this->place(job);
        return;
    }
    this->endUnanswered(job, ResultCode::RequestNotRun, outcome.detail);
}

bool RequestEngine::State::hasUntried(const Job &job) const
{
    const auto configuration = this->parts.source.current();
    const settings::Service *service = findService(*configuration, job.service.name);
    return service != nullptr
        && std::ranges::any_of(service->upstreams, [&](const settings::Upstream &upstream) {
               return upstream.http.port != 0 && !job.tried.contains(upstream.name);
           });
}

void RequestEngine::State::endUnanswered(const JobPointer &job, ResultCode notSent,
                                         const std::string &detail)
{
    this->end(job, job->wasSent ? ResultCode::RequestFailed : notSent, detail);
}

void RequestEngine::State::handOver(const JobPointer &job, const VmName &vm)
{
    const membership::Member *member = this->parts.membership.find(vm);
    if (member == nullptr) {
        this->end(job, ResultCode::RequestNotRun, "the VM that would take it is unknown");
        return;
    }
    const TimePoint now = this->parts.clock.now();
    job->upstream = {};
    job->sentAt = now;
    net::HttpCall call = this->callFor(*job, net::endpointText(member->requests), now);
    call.headers.insert_or_assign(std::string(kHopHeader),
                                  job->key ? std::string(kClaimedHop) : std::string("1"));
    job->call =
        this->parts.client.send(std::move(call), [this, job](const net::HttpResult &result) {
            this->finishHandOver(job, result);
        });
}

void RequestEngine::State::finishHandOver(const JobPointer &job, const net::HttpResult &result)
{
    job->call.reset();
    const std::string text = net::headerValue(result.answer.headers, kResultHeader);
    const bool isWhole = result.reason.code == ResultCode::Ok && !text.empty();
    if (isWhole) {
        const auto code = std::ranges::find_if(resultCodes(), [&](const ResultCodeInfo &row) {
            return std::to_string(static_cast<int>(row.code)) == text;
        });
        const ResultCode outcome =
            code == resultCodes().end() ? ResultCode::RequestOutcomeUnknown : code->code;
        job->wasSent = !meansNotRun(outcome);
        net::HttpAnswer answer = result.answer;
        for (const char *name : kHopByHopHeaders) {
            answer.headers.erase(name);
        }
        this->answer(job, std::move(answer), outcome);
        return;
    }
    job->wasSent = result.anythingSent;
    const ResultCode sent =
        job->isIdempotent ? ResultCode::RequestFailed : ResultCode::RequestOutcomeUnknown;
    this->end(job, job->wasSent ? sent : ResultCode::RequestNotRun, result.reason.detail);
}
}
