#include "evidence/trafficbudget.h"

#include <algorithm>

namespace radishladder::evidence {
namespace {
//! Below the limit of 2 KB/s for each VM, which leaves room for refutations.
constexpr double kBytesPerSecond = 1600;

//! Bytes that may be sent at once; enough for the first reports when 1% of 2,640 upstreams fail.
constexpr double kReportBurst = 4000;
constexpr double kRefutationBurst = 6000;
}

double TrafficBudget::levelAt(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - this->updatedAt).count();
    return std::max(0.0, this->level - elapsed * kBytesPerSecond);
}

void TrafficBudget::add(std::size_t bytes, TimePoint now)
{
    this->level = this->levelAt(now) + static_cast<double>(bytes);
    this->updatedAt = now;
}

bool TrafficBudget::allowsReport(TimePoint now) const
{
    return this->levelAt(now) < kReportBurst;
}

bool TrafficBudget::allowsRefutation(TimePoint now) const
{
    return this->levelAt(now) < kRefutationBurst;
}
}
