#include "placement/spillpolicy.h"

#include "placement/types/spilltarget.h"

#include <algorithm>

namespace radishladder::placement {
namespace {
//! Shares rise above the first pressure and fall below the second one, and stay between them.
//! Requests are refused from a pressure of 1.
constexpr double kSpillPressure = 0.8;
constexpr double kReturnPressure = 0.6;

//! Pressures that differ by less count as equal, since they are measured on few flows.
constexpr double kMargin = 0.1;

//! Change of a share per second and unit of pressure.
constexpr double kGain = 0.07;
constexpr double kMaxChangePerSecond = 0.25;

//! Above the first pressure requests are refused, which bounds the pressure, so that the gain alone
//! takes longer than a peak of some seconds. A data centre whose pressure exceeds the second one
//! fills too fast for a higher gain.
constexpr double kRefusalPressure = 1.0;
constexpr double kAmpleRoomPressure = 0.45;
constexpr double kGainInRefusal = 0.5;

//! Below this pressure the own data centre has ample room for all flows that it gets back.
constexpr double kFastReturnPressure = 0.4;
constexpr double kGainInReturn = 0.5;

//! Shares follow the pressures expected after this time. Requests in flight add up all that arrives
//! above the capacity, and pressures are smoothed, so shares that follow present pressures either
//! oscillate or take twice as long.
constexpr std::chrono::duration<double> kLead(1);
constexpr std::chrono::duration<double> kTrendSmoothing(0.3);

//! Share for a data centre of unknown pressure, which suffices to measure it.
constexpr double kProbeShare = 0.05;

//! The own data centre keeps the rest, so that its pressure stays measured.
constexpr double kMaxTotalShare = 0.9;

//! Updates \a trend and returns the pressure expected after the lead time; 0 if it is unknown.
double expectedPressure(PressureTrend &trend, std::optional<double> pressure,
                        std::chrono::duration<double> elapsed)
{
    if (!pressure || !trend.pressure) {
        trend = {.pressure = pressure};
        return pressure.value_or(0);
    }
    const double change = (*pressure - *trend.pressure) / elapsed.count();
    const double weight = std::min(1.0, elapsed / kTrendSmoothing);
    trend.changePerSecond += (change - trend.changePerSecond) * weight;
    trend.pressure = pressure;
    return *pressure + trend.changePerSecond * kLead.count();
}

//! Returns the change per second of the share of a data centre; \a present is the own pressure now,
//! \a own and \a target are the expected ones.
double changePerSecond(double present, double own, double target)
{
    const double threshold = std::max(kSpillPressure, target + kMargin);
    const double excess = own > threshold
        ? own - threshold
        : std::min(0.0, std::min(own - kReturnPressure, own + kMargin - target));
    const double refusing = present - kRefusalPressure - std::max(0.0, target - kAmpleRoomPressure);
    const double faster = kGainInRefusal * std::max(0.0, std::min(excess, refusing))
        - kGainInReturn * std::max(0.0, std::min(-excess, kFastReturnPressure - present));
    return std::clamp(kGain * excess + faster, -kMaxChangePerSecond, kMaxChangePerSecond);
}
}

void SpillPolicy::update(double ownPressure, std::span<const SpillTarget> targets,
                         std::chrono::milliseconds elapsed)
{
    if (elapsed.count() <= 0) {
        return;
    }
    const double own = expectedPressure(this->ownTrend, ownPressure, elapsed);
    std::map<DataCentreName, Share> changed;
    double total = 0;
    for (const SpillTarget &target : targets) {
        if (!target.isUsable) {
            continue;
        }
        Share share = this->shares[target.dataCentre];
        const double expected = expectedPressure(share.trend, target.pressure, elapsed);
        const double change = changePerSecond(ownPressure, own, expected)
            * std::chrono::duration<double>(elapsed).count();
        share.value =
            std::clamp(share.value + change, 0.0, target.pressure ? kMaxTotalShare : kProbeShare);
        total += share.value;
        changed[target.dataCentre] = share;
    }
    for (auto &[dataCentre, share] : changed) {
        share.value *= total > kMaxTotalShare ? kMaxTotalShare / total : 1;
    }
    this->shares = std::move(changed);
}

double SpillPolicy::shareOf(const DataCentreName &dataCentre) const
{
    const auto found = this->shares.find(dataCentre);
    return found == this->shares.end() ? 0 : found->second.value;
}

std::optional<DataCentreName> SpillPolicy::pick(double uniform) const
{
    for (const auto &[dataCentre, share] : this->shares) {
        if (uniform < share.value) {
            return dataCentre;
        }
        uniform -= share.value;
    }
    return std::nullopt;
}
}
