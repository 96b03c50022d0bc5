#include "placement/priorityadmission.h"

#include "placement/internal/uniform.h"
#include "placement/types/admissionrequest.h"

#include <algorithm>

namespace radishladder::placement {
namespace {
//! Pressure at which the first SYNs of the lowest priority are refused, and the pressure between
//! the first refusals and the largest share.
constexpr double kFirstRefusal = 1.0;
constexpr double kRampWidth = 0.5;

//! SYNs of the highest priority are admitted as long as their own target latency can be met: at
//! this pressure the mean response time is the target latency.
constexpr double kFirstRefusalOfHighest = 2.0;

//! The rest is admitted at any pressure, so that no priority and no client is refused for good.
constexpr double kMaxRefusedShare = 0.95;

//! The refused share of a client with too many flows reaches its largest value at the pressure at
//! which the first flows of others are refused, or this much above it in the highest priority. It
//! rises over this range, since a step would make the load oscillate.
constexpr double kExcessiveClientRamp = 0.2;

//! Time between the first transmission of a SYN and its retransmissions.
std::chrono::milliseconds sinceFirstTransmission(std::uint32_t retransmissions)
{
    constexpr std::chrono::milliseconds kFirst{200};
    constexpr std::chrono::milliseconds kSecond{600};
    return retransmissions == 1 ? kFirst : kSecond;
}

double firstRefusal(const AdmissionRequest &request)
{
    if (request.rank == 0) {
        return std::max(kFirstRefusalOfHighest,
                        kFirstRefusal + kRampWidth * (request.rankCount - 1));
    }
    return kFirstRefusal + kRampWidth * (request.rankCount - 1 - request.rank);
}

double refusedShare(double pressure, double start, double rampWidth)
{
    return kMaxRefusedShare * std::clamp((pressure - start) / rampWidth, 0.0, 1.0);
}

bool isLate(const AdmissionRequest &request)
{
    return request.retransmissions > 0
        && sinceFirstTransmission(request.retransmissions)
        > request.targetLatency - request.load.responseTime;
}
}

std::string_view admissionResultName(AdmissionResult result)
{
    switch (result) {
    case AdmissionResult::Admitted:
        return "admitted";
    case AdmissionResult::LoadUnknown:
        return "load_unknown";
    case AdmissionResult::RefusedByRank:
        return "rank";
    case AdmissionResult::RefusedAsLate:
        return "late";
    case AdmissionResult::RefusedByClient:
        return "client";
    }
    return "";
}

PriorityAdmission::PriorityAdmission(IRandom &random) : random(random) { }

PriorityAdmission::Refusal PriorityAdmission::refusalFor(const AdmissionRequest &request,
                                                         std::optional<double> pressure) const
{
    const bool isOverloaded = this->backlog.isPresent() || pressure >= kFirstRefusal;
    if (isOverloaded && isLate(request)) {
        // Applies to the highest priority as well: these requests can't meet their target.
        return {AdmissionResult::RefusedAsLate, kMaxRefusedShare};
    }
    if (!pressure) {
        return {AdmissionResult::LoadUnknown};
    }
    const double start = firstRefusal(request);
    if (this->clientRates.isExcessive(request.clientAddress)) {
        const double earlier = request.rank == 0 ? start : start - kExcessiveClientRamp;
        return {AdmissionResult::RefusedByClient,
                refusedShare(*pressure, earlier, kExcessiveClientRamp)};
    }
    return {AdmissionResult::RefusedByRank, refusedShare(*pressure, start, kRampWidth)};
}

AdmissionDecision PriorityAdmission::decide(const AdmissionRequest &request,
                                            std::chrono::steady_clock::time_point now)
{
    this->backlog.recordSyn(request.retransmissions, now);
    if (request.retransmissions == 0) {
        this->clientRates.recordOpened(request.clientAddress, now);
    }
    const auto pressure = placement::pressure(request.load, request.targetLatency);
    const Refusal refusal = this->refusalFor(request, pressure);
    AdmissionDecision decision{.rank = request.rank,
                               .pressure = pressure.value_or(0),
                               .refusedShare = refusal.share,
                               .responseTime = request.load.responseTime,
                               .requestsPerSlot = request.load.requestsPerSlot,
                               .loadAge = request.load.age};
    if (this->draw(refusal.share)) {
        decision.result = refusal.reason;
    } else if (!pressure) {
        decision.result = AdmissionResult::LoadUnknown;
    }
    return decision;
}

bool PriorityAdmission::draw(double share)
{
    return share > 0 && uniform(this->random) < share;
}
}
