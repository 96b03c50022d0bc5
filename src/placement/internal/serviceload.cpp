#include "placement/serviceload.h"

#include "placement/types/loadsample.h"

#include <algorithm>
#include <cmath>

namespace radishladder::placement {
namespace {
using Seconds = std::chrono::duration<double>;

//! Long enough for several responses at the usual 30 flows a second of a VM, short enough to follow
//! a rise of the load before queues are full.
constexpr Seconds kSmoothingTime{0.5};

//! Shorter than the time in which upstreams empty their queues. While refusals last, the requests
//! of earlier moments would keep the estimate high until slots are idle.
constexpr Seconds kFallTime{0.1};
constexpr std::chrono::milliseconds kSampleInterval{25};

//! Responses within the smoothing time from which their rate and mean are used.
constexpr double kMinResponses = 3;

//! A data centre that gets a twentieth of a VM's flows responds less often than its mean needs for
//! admission, but several times in this time.
constexpr Seconds kMaxMeasuredAge{2.0};

//! Below this number of requests in flight and of responses within the smoothing time, pressure is
//! reduced in proportion: a few slow requests don't show that a service is overloaded.
constexpr double kMinObservations = 6;

//! Requests in flight may exceed what the measured response times explain by this factor while a
//! queue grows. Beyond it they wait on upstreams that have failed, not on queues.
constexpr double kMaxGrowth = 1.5;

//! Requests in flight per slot at pressure 1. Refusals begin while the queues of most upstreams
//! have room, since the load varies between upstreams and a full queue rejects important requests.
constexpr double kFullLoad = 2.0;

//! Limit of the pressure while there are no responses. A failure of all upstreams in use looks the
//! same, and if most flows were refused then, nothing would show that others respond.
constexpr double kMaxPressureWithoutResponses = 1.25;

double decayFactor(std::chrono::steady_clock::duration elapsed,
                   Seconds smoothingTime = kSmoothingTime)
{
    return std::exp(-Seconds(elapsed) / smoothingTime);
}

std::chrono::milliseconds toMilliseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Seconds(seconds));
}

double pressureAt(const LoadEstimate &load, std::chrono::milliseconds responseTime,
                  std::chrono::milliseconds targetLatency)
{
    const double byResponseTime = Seconds(responseTime) / (0.5 * Seconds(targetLatency));
    return std::max(byResponseTime, load.requestsPerSlot / kFullLoad);
}

//! Returns the factor by which few observations reduce the pressure.
double certainty(const LoadEstimate &load)
{
    const double observations =
        load.requestsInFlight + load.responsesPerSecond * kSmoothingTime.count();
    return std::min(1.0, observations / kMinObservations);
}
}

bool ServiceLoad::needsSample(const ServiceName &service, TimePoint now) const
{
    const auto first = this->states.lower_bound({service, DataCentreName()});
    return first == this->states.end() || first->first.first != service || !first->second.sampledAt
        || now - *first->second.sampledAt >= kSampleInterval;
}

void ServiceLoad::recordSample(const ServiceName &service, const DataCentreName &dataCentre,
                               const LoadSample &sample, TimePoint now)
{
    State &state = this->states[{service, dataCentre}];
    if (state.sampledAt) {
        const auto elapsed = now - *state.sampledAt;
        const auto smooth = [&sample](double value, double kept) {
            return value * kept + sample.requestsInFlight * (1 - kept);
        };
        state.requestsInFlight = smooth(state.requestsInFlight, decayFactor(elapsed));
        state.latestRequestsInFlight =
            smooth(state.latestRequestsInFlight, decayFactor(elapsed, kFallTime));
    }
    state.sampledAt = now;
    state.membersPerSlot =
        sample.slots > 0 ? static_cast<double>(sample.members) / sample.slots : 0;
    if (sample.requestsInFlight == 0) {
        state.waitingSince.reset();
    } else if (!state.waitingSince) {
        state.waitingSince = now;
    }
}

void ServiceLoad::recordResponse(const ServiceName &service, const DataCentreName &dataCentre,
                                 std::chrono::milliseconds responseTime, TimePoint now)
{
    State &state = this->states[{service, dataCentre}];
    const double kept = decayFactor(now - state.respondedAt);
    state.responsesPerSecond = state.responsesPerSecond * kept + 1 / kSmoothingTime.count();
    state.responseSeconds =
        state.responseSeconds * kept + Seconds(responseTime).count() / kSmoothingTime.count();
    state.respondedAt = now;
    if (state.waitingSince) {
        state.waitingSince = now;
    }
}

LoadEstimate ServiceLoad::estimate(const ServiceName &service, const DataCentreName &dataCentre,
                                   TimePoint now) const
{
    const auto found = this->states.find({service, dataCentre});
    if (found == this->states.end()) {
        return {};
    }
    const State &state = found->second;
    const double requestsInFlight = std::min(state.requestsInFlight, state.latestRequestsInFlight);
    LoadEstimate estimate{.requestsInFlight = requestsInFlight,
                          .responsesPerSecond =
                              state.responsesPerSecond * decayFactor(now - state.respondedAt)};
    estimate.hasResponses = estimate.responsesPerSecond * kSmoothingTime.count() >= kMinResponses;
    if (estimate.hasResponses) {
        const double measured = state.responseSeconds / state.responsesPerSecond;
        const double byLittle = requestsInFlight / estimate.responsesPerSecond;
        const double responseTime = std::min(byLittle, measured * kMaxGrowth);
        estimate.responseTime = toMilliseconds(responseTime);
        estimate.requestsInFlight = responseTime * estimate.responsesPerSecond;
    } else if (state.waitingSince) {
        estimate.responseTime =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - *state.waitingSince);
    }
    estimate.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.respondedAt);
    if (state.responsesPerSecond > 0 && now - state.respondedAt <= kMaxMeasuredAge) {
        estimate.measuredTime = toMilliseconds(state.responseSeconds / state.responsesPerSecond);
    }
    estimate.requestsPerSlot = estimate.requestsInFlight * state.membersPerSlot;
    return estimate;
}

std::optional<double> pressure(const LoadEstimate &load, std::chrono::milliseconds targetLatency)
{
    // Without responses, only a wait longer than the target shows that requests are late.
    if (!load.hasResponses && load.responseTime <= targetLatency) {
        return std::nullopt;
    }
    const double value = pressureAt(load, load.responseTime, targetLatency);
    return (load.hasResponses ? value : std::min(value, kMaxPressureWithoutResponses))
        * certainty(load);
}

std::optional<double> pressureOfFewFlows(const LoadEstimate &load,
                                         std::chrono::milliseconds targetLatency)
{
    if (load.measuredTime.count() == 0) {
        return std::nullopt;
    }
    return pressureAt(load, load.measuredTime, targetLatency);
}
}
