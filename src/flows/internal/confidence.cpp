#include "flows/internal/confidence.h"

#include "membership/imembership.h"
#include "membership/types/member.h"

namespace radishladder::flows {
namespace {
//! Datagrams that waited in the socket during a pause are read within this time.
constexpr std::chrono::milliseconds kBufferedNews{300};
}

Confidence::Confidence(const membership::IMembership &membership, const FlowOptions &options)
    : membership(membership), options(options)
{ }

void Confidence::startDoubt(TimePoint now)
{
    this->sure = false;
    this->doubtSince = now;
    this->lastTick = now;
}

void Confidence::tick(TimePoint now)
{
    this->observe(now);
    this->lastTick = now;
    const bool confident = this->membership.isConfident(now);
    if (this->sure) {
        if (!confident) {
            this->startDoubt(now);
        }
        return;
    }
    this->sure = confident && this->hasFreshNews();
}

bool Confidence::hasFreshNews() const
{
    std::size_t fresh = 1;
    std::size_t counted = 0;
    for (const membership::Member &member : this->membership.members()) {
        if (member.state == membership::MemberState::Dead) {
            continue;
        }
        ++counted;
        // Messages that arrived before the pause ended look new but tell old states.
        if (member.name != this->membership.self()
            && member.lastHeard >= this->doubtSince + kBufferedNews) {
            ++fresh;
        }
    }
    return fresh * 2 > counted;
}

bool Confidence::isCutOff(TimePoint now) const
{
    return !this->sure && now - this->doubtSince >= this->options.cutOffAfter;
}
}
