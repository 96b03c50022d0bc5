#include "placement/spillcontrol.h"

#include "placement/internal/uniform.h"
#include "placement/types/spilldecision.h"

#include <algorithm>

namespace radishladder::placement {
namespace {
constexpr std::chrono::milliseconds kUpdateInterval{50};

//! After a pause without new flows, the last pressures say nothing about the change since.
constexpr std::chrono::milliseconds kMaxElapsed{1000};

//! A silent data centre gets no flow for this long. Each attempt costs some flows of up to a
//! twentieth of the clients 0.6 s, until the first retransmissions arrive.
constexpr std::chrono::seconds kSilenceDelay{5};

//! Below this share of all flows, errors of the pressures at usual loads would be the only reason
//! to send flows to expensive links.
constexpr double kMinShare = 0.03;

//! Own pressure up to which no flow leaves by the limits on the load of single upstreams, which few
//! flows of a VM exceed by chance.
constexpr double kMaxOwnPressure = 0.8;
}

SpillControl::SpillControl(IRandom &random) : random(random) { }

bool SpillControl::needsUpdate(const ServiceName &service, TimePoint now) const
{
    const auto found = this->states.find(service);
    return found == this->states.end() || !found->second.updatedAt
        || now - *found->second.updatedAt >= kUpdateInterval;
}

void SpillControl::update(const ServiceName &service, const OwnPressure &own,
                          std::span<const SpillTarget> targets, TimePoint now)
{
    State &state = this->states[service];
    state.targets.assign(targets.begin(), targets.end());
    for (SpillTarget &target : state.targets) {
        target.isUsable = target.isUsable && !isSilent(state, target, now);
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - state.updatedAt.value_or(now - kUpdateInterval));
    state.policy.update(own.value.value_or(0), state.targets, std::min(elapsed, kMaxElapsed));
    state.updatedAt = now;
    state.own = own;
}

bool SpillControl::hasRoom(const ServiceName &service, TimePoint now) const
{
    const auto found = this->states.find(service);
    return found != this->states.end() && !this->needsUpdate(service, now)
        && found->second.own.value.value_or(kMaxOwnPressure) < kMaxOwnPressure;
}

bool SpillControl::isSilent(State &state, const SpillTarget &target, TimePoint now)
{
    const auto last = state.silentAt.find(target.dataCentre);
    // Flows of before that time stay silent, whether or not the data centre responds again.
    if (target.silentSince
        && (last == state.silentAt.end() || *target.silentSince > last->second)) {
        state.silentAt[target.dataCentre] = now;
        return true;
    }
    return last != state.silentAt.end() && now - last->second < kSilenceDelay;
}

std::optional<SpillDecision> SpillControl::decide(const ServiceName &service, TimePoint now)
{
    const auto found = this->states.find(service);
    if (found == this->states.end()) {
        return std::nullopt;
    }
    const State &state = found->second;
    const auto dataCentre = state.policy.pick(uniform(this->random));
    if (!dataCentre || state.policy.shareOf(*dataCentre) < kMinShare) {
        return std::nullopt;
    }
    const auto sinceUpdate =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - state.updatedAt.value_or(now));
    SpillDecision decision{.dataCentre = *dataCentre,
                           .share = state.policy.shareOf(*dataCentre),
                           .ownPressure = state.own.value.value_or(0),
                           .ownAge = state.own.age + sinceUpdate};
    const auto target = std::ranges::find(state.targets, *dataCentre, &SpillTarget::dataCentre);
    if (target != state.targets.end()) {
        decision.pressure = target->pressure;
        decision.age = target->age + sinceUpdate;
    }
    return decision;
}
}
