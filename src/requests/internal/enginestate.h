#pragma once

#include "global/resultcode.h"
#include "requests/internal/attemptoutcome.h"
#include "requests/internal/job.h"
#include "requests/internal/keyhome.h"
#include "requests/internal/retrybudget.h"
#include "requests/internal/waitingqueue.h"
#include "requests/requestengine.h"
#include "settings/types/upstream.h"

#include <map>

namespace radishladder::net {
struct HttpAnswer;
struct HttpCall;
struct HttpResult;
}

namespace radishladder::requests {

//! The decisions of RequestEngine.
class RequestEngine::State
{
public:
    using TimePoint = Job::TimePoint;
    using JobPointer = std::shared_ptr<Job>;

    State(const RequestSurroundings &surroundings, const RequestOptions &options);

    void handle(net::HttpRequest request, std::shared_ptr<net::IHttpResponder> responder);
    void stopAccepting() { this->accepting = false; }
    std::size_t running() const { return this->jobs.size(); }
    void tick(TimePoint now);

private:
    // Arrival.
    std::shared_ptr<Job> makeJob(net::HttpRequest request,
                                 std::shared_ptr<net::IHttpResponder> responder);
    bool isFromVm(const net::HttpRequest &request) const;
    void refuse(net::IHttpResponder &responder, ResultCode code, const std::string &detail);
    void handleKeyed(const JobPointer &job);
    void applyVerdict(const JobPointer &job, KeyVerdict verdict, const net::HttpAnswer &answer);

    // Choice of an upstream or of another VM.
    void place(const JobPointer &job);
    bool start(const JobPointer &job);
    void enqueue(const JobPointer &job);
    bool hasUntried(const Job &job) const;
    void endUnanswered(const JobPointer &job, ResultCode notSent, const std::string &detail);
    bool isHopeless(const Job &job, TimePoint now) const;
    int ownSlots(const settings::Service &service) const;
    std::optional<VmName> holderElsewhere(const Job &job);
    void serveQueue(TimePoint now);

    // Attempts.
    net::HttpCall callFor(const Job &job, const std::string &target, TimePoint now) const;
    void send(const JobPointer &job, const settings::Upstream &upstream);
    void finishAttempt(const JobPointer &job, const net::HttpResult &result);
    void retryOrEnd(const JobPointer &job, const AttemptOutcome &outcome);
    void handOver(const JobPointer &job, const VmName &vm);
    void finishHandOver(const JobPointer &job, const net::HttpResult &result);

    // Outcomes.
    void answer(const JobPointer &job, net::HttpAnswer answer, ResultCode code);
    void end(const JobPointer &job, ResultCode code, const std::string &detail);
    void cancel(const JobPointer &job, TimePoint now);
    void count(ResultCode code);

    RequestSurroundings parts;
    RequestOptions options;
    KeyHome keys;
    RetryBudget retries;
    WaitingQueue queue;
    std::map<std::uint64_t, JobPointer> jobs;
    std::uint64_t lastNumber = 0;
    std::uint64_t idSeed;
    std::chrono::milliseconds smoothedService{0};
    bool accepting = true;
};
}
