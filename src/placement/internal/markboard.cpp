#include "placement/internal/markboard.h"

#include "membership/isharedfacts.h"
#include "placement/factkeys.h"

namespace radishladder::placement {
MarkBoard::MarkBoard(membership::ISharedFacts &facts) : facts(facts) { }

void MarkBoard::append(std::uint64_t wireId)
{
    Mark mark;
    mark.wireId = wireId;
    this->marks.push_back(std::move(mark));
}

void MarkBoard::learn(UpstreamIndex upstream, const std::string &factKey)
{
    std::set<VmName> origins;
    for (VmName &origin : this->facts.origins(factKey)) {
        origins.insert(std::move(origin));
    }
    this->marks[upstream].origins = std::move(origins);
}

void MarkBoard::state(std::set<UpstreamIndex> wanted)
{
    for (const UpstreamIndex upstream : wanted) {
        if (!this->ownMarks.contains(upstream)) {
            this->marks[upstream].own = true;
            this->facts.publish(markKey(this->marks[upstream].wireId), {});
        }
    }
    for (const UpstreamIndex upstream : this->ownMarks) {
        if (!wanted.contains(upstream)) {
            this->marks[upstream].own = false;
            this->marks[upstream].settled = false;
            this->facts.withdraw(markKey(this->marks[upstream].wireId));
        }
    }
    this->ownMarks = std::move(wanted);
}

void MarkBoard::updateSettled(std::chrono::steady_clock::time_point now)
{
    for (const UpstreamIndex upstream : this->ownMarks) {
        Mark &mark = this->marks[upstream];
        mark.settled = mark.settled || this->facts.isKnownByAll(markKey(mark.wireId), now);
    }
}

bool MarkBoard::isMarked(UpstreamIndex upstream) const
{
    const Mark &mark = this->marks[upstream];
    return mark.own || !mark.origins.empty();
}

bool MarkBoard::isSettled(UpstreamIndex upstream) const
{
    return this->marks[upstream].settled;
}
}
