#include "requests/requestengine.h"

#include "global/hash.h"
#include "global/iclock.h"
#include "global/irandom.h"
#include "membership/imembership.h"
#include "membership/types/member.h"
#include "net/ihttpresponder.h"
#include "requests/internal/enginestate.h"
#include "requests/internal/outcomeanswer.h"
#include "requests/internal/requestcheck.h"
#include "requests/requestheaders.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"
#include "telemetry/icounter.h"
#include "telemetry/imetrics.h"
#include "upstreams/iupstreams.h"

#include <algorithm>

namespace radishladder::requests {
RequestEngine::RequestEngine(const RequestSurroundings &surroundings, const RequestOptions &options)
    : state(std::make_unique<State>(surroundings, options))
{ }

RequestEngine::~RequestEngine() = default;

void RequestEngine::handle(net::HttpRequest request, std::shared_ptr<net::IHttpResponder> responder)
{
    this->state->handle(std::move(request), std::move(responder));
}

void RequestEngine::stopAccepting()
{
    this->state->stopAccepting();
}

std::size_t RequestEngine::running() const
{
    return this->state->running();
}

void RequestEngine::tick(std::chrono::steady_clock::time_point now)
{
    this->state->tick(now);
}

RequestEngine::State::State(const RequestSurroundings &surroundings, const RequestOptions &options)
    : parts(surroundings), options(options),
      keys(surroundings.membership, surroundings.transport, options), queue(options.queueLimit),
      idSeed(surroundings.random.next())
{ }

void RequestEngine::State::handle(net::HttpRequest request,
                                  std::shared_ptr<net::IHttpResponder> responder)
{
    if (!this->accepting) {
        this->refuse(*responder, ResultCode::RequestStopping, "this VM is stopping");
        return;
    }
    const auto configuration = this->parts.source.current();
    const settings::Service *service = serviceOf(request, *configuration);
    if (service == nullptr) {
        this->refuse(*responder, ResultCode::RequestUnknownService, "no service for this host");
        return;
    }
    const Reason reason = checkRequest(request, *service);
    if (reason.code != ResultCode::Ok) {
        this->refuse(*responder, reason.code, reason.detail);
        return;
    }
    const auto left = timeLeft(request, service->requestTimeout);
    if (!left) {
        this->refuse(*responder, ResultCode::RequestHeaderInvalid, "deadline is no number");
        return;
    }
    if (*left <= this->options.hopAllowance) {
        this->refuse(*responder, ResultCode::RequestDeadlinePassed, "no time left");
        return;
    }
    JobPointer job = this->makeJob(std::move(request), std::move(responder));
    job->service = *service;
    job->service.upstreams.clear();
    job->deadline = job->arrivedAt + *left;
    this->retries.noteRequest();
    this->jobs.emplace(job->number, job);
    if (job->isIdempotent || job->isClaimed) {
        this->place(job);
    } else {
        this->handleKeyed(job);
    }
}

RequestEngine::State::JobPointer RequestEngine::State::makeJob(
    net::HttpRequest request, std::shared_ptr<net::IHttpResponder> responder)
{
    auto job = std::make_shared<Job>();
    job->number = ++this->lastNumber;
    job->id = this->parts.membership.self().str() + '-' + std::to_string(this->idSeed) + '-'
        + std::to_string(job->number);
    job->isIdempotent = isIdempotent(request.method);
    job->wasHandedOver = request.headers.contains(kHopHeader);
    // A caller that claims a key for itself would get around the home.
    job->isClaimed =
        net::headerValue(request.headers, kHopHeader) == kClaimedHop && this->isFromVm(request);
    job->request = std::move(request);
    job->responder = std::move(responder);
    job->arrivedAt = this->parts.clock.now();
    return job;
}

bool RequestEngine::State::isFromVm(const net::HttpRequest &request) const
{
    const std::vector<membership::Member> members = this->parts.membership.members();
    return std::ranges::any_of(members, [&](const membership::Member &member) {
        return request.from.address == member.data.address
            || request.from.address == member.requests.address;
    });
}

void RequestEngine::State::handleKeyed(const JobPointer &job)
{
    const std::string key = net::headerValue(job->request.headers, kIdempotencyKeyHeader);
    const KeyId id = KeyId::of(job->service.name.str(), key);
    const VmName home = this->keys.homeOf(id);
    if (home != this->parts.membership.self()) {
        if (job->wasHandedOver || home.isEmpty()) {
            this->end(job, ResultCode::RequestNotRun, "the VMs disagree on the home of the key");
            return;
        }
        this->handOver(job, home);
        return;
    }
    const net::HttpRequest &request = job->request;
    const std::uint64_t digest =
        hash64(request.method + ' ' + request.path + request.query + '\n' + request.body);
    this->keys.begin(id, digest, job->deadline, this->parts.clock.now(),
                     [this, job, id](KeyVerdict verdict, const net::HttpAnswer &stored) {
                         if (verdict == KeyVerdict::Run) {
                             job->key = id;
                         }
                         this->applyVerdict(job, verdict, stored);
                     });
}

void RequestEngine::State::applyVerdict(const JobPointer &job, KeyVerdict verdict,
                                        const net::HttpAnswer &stored)
{
    switch (verdict) {
    case KeyVerdict::Run:
        this->place(job);
        return;
    case KeyVerdict::Answered:
        this->answer(job, stored, ResultCode::RequestAnswered);
        return;
    case KeyVerdict::InProgress:
        this->end(job, ResultCode::RequestInProgress, "a request with this key is running");
        return;
    case KeyVerdict::Unknown:
        this->end(job, ResultCode::RequestOutcomeUnknown, "the key may have been used before");
        return;
    case KeyVerdict::Reused:
        this->end(job, ResultCode::RequestKeyReused, "the key belongs to another request");
        return;
    case KeyVerdict::NotRun:
        this->end(job, ResultCode::RequestNotRun, "the key could not be claimed");
        return;
    case KeyVerdict::Full:
        this->end(job, ResultCode::RequestOverload, "too many keys are remembered");
        return;
    }
}

void RequestEngine::State::tick(TimePoint now)
{
    this->keys.tick(now);
    std::vector<JobPointer> gone;
    for (const auto &[number, job] : this->jobs) {
        // A keyed request runs on: its caller will repeat the key and find the answer.
        if (job->isIdempotent && job->responder->isCallerGone()) {
            gone.push_back(job);
        }
    }
    for (const JobPointer &job : gone) {
        this->cancel(job, now);
    }
    this->serveQueue(now);
}

void RequestEngine::State::cancel(const JobPointer &job, TimePoint now)
{
    if (job->call) {
        this->parts.client.cancel(*job->call);
        job->call.reset();
        if (!job->upstream.isEmpty()) {
            this->parts.upstreams.requestEnded(
                job->upstream, upstreams::Observation::Cancelled,
                std::chrono::duration_cast<std::chrono::milliseconds>(now - job->sentAt), now);
        }
    }
    this->queue.removeIf([&](const Job &waiting) { return waiting.number == job->number; });
    this->end(job, ResultCode::RequestCancelled, "the caller went away");
}

void RequestEngine::State::refuse(net::IHttpResponder &responder, ResultCode code,
                                  const std::string &detail)
{
    this->count(code);
    responder.answer(outcomeAnswer(code, detail));
}

void RequestEngine::State::end(const JobPointer &job, ResultCode code, const std::string &detail)
{
    this->answer(job, outcomeAnswer(code, detail), code);
}

void RequestEngine::State::answer(const JobPointer &job, net::HttpAnswer answer, ResultCode code)
{
    // The first outcome is the only one.
    if (this->jobs.erase(job->number) == 0) {
        return;
    }
    if (job->key) {
        const bool isAnswered = code == ResultCode::RequestAnswered;
        const KeyState unanswered = job->wasSent ? KeyState::Unknown : KeyState::NotRun;
        this->keys.finish(*job->key, isAnswered ? KeyState::Answered : unanswered, answer,
                          this->parts.clock.now());
    }
    this->count(code);
    answer.headers[std::string(kResultHeader)] = std::to_string(static_cast<int>(code));
    answer.headers[std::string(kRequestIdHeader)] = job->id;
    job->responder->answer(answer);
}

void RequestEngine::State::count(ResultCode code)
{
    this->parts.metrics.counter("requests_total", {{"outcome", std::string(resultCodeName(code))}})
        .add();
}
}
