#include "placement/clientrates.h"

#include <cmath>

namespace radishladder::placement {
namespace {
//! Counts decrease to this share each second, so flows count for some three seconds.
constexpr double kKeptPerSecond = 0.7;
constexpr std::chrono::seconds kDecayInterval{1};

//! An address is removed below this count, about five seconds after its last flow.
constexpr double kMinCount = 0.2;

//! Bounds the memory to some 50 KB; further addresses aren't counted until others have decayed.
constexpr std::size_t kMaxAddresses = 1024;

constexpr double kExcess = 10;
//! Minimum number of other addresses for a mean, and of own flows for a comparison with it.
constexpr std::size_t kMinOthers = 3;
constexpr double kMinOpened = 10;
}

void ClientRates::recordOpened(std::uint32_t address, TimePoint now)
{
    if (now - this->decayedAt >= kDecayInterval) {
        this->decay(now);
    }
    const auto found = this->counts.find(address);
    if (found != this->counts.end()) {
        found->second += 1;
    } else if (this->counts.size() < kMaxAddresses) {
        this->counts.emplace(address, 1);
    } else {
        return;
    }
    this->total += 1;
}

bool ClientRates::isExcessive(std::uint32_t address) const
{
    const auto found = this->counts.find(address);
    if (found == this->counts.end() || this->counts.size() <= kMinOthers) {
        return false;
    }
    const double meanOfOthers =
        (this->total - found->second) / static_cast<double>(this->counts.size() - 1);
    return found->second >= kMinOpened && found->second > kExcess * meanOfOthers;
}

void ClientRates::decay(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - this->decayedAt;
    const double kept = std::pow(kKeptPerSecond, elapsed.count());
    this->decayedAt = now;
    this->total = 0;
    for (auto entry = this->counts.begin(); entry != this->counts.end();) {
        entry->second *= kept;
        if (entry->second < kMinCount) {
            entry = this->counts.erase(entry);
            continue;
        }
        this->total += entry->second;
        ++entry;
    }
}
}
