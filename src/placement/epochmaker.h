#pragma once

#include "placement/types/epochdocument.h"
#include "placement/types/weightedmember.h"

#include "global/name.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace radishladder::distribution {
class IDocumentFeed;
}
namespace radishladder::membership {
class IMembership;
class ISharedFacts;
}
namespace radishladder::settings {
class IConfigurationSource;
struct Configuration;
struct Service;
}
namespace radishladder::store {
class IConfigStore;
struct StoredValue;
}
namespace radishladder::telemetry {
class ITimeLine;
}
namespace radishladder::upstreams {
class IUpstreams;
}

namespace radishladder::placement {

//! Writes the epochs of the services for which this VM ranks first. Several VMs may try: the
//! store's compare-and-swap lets one win, and no lease is needed for safety.
class EpochMaker
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    EpochMaker(settings::IConfigurationSource &configuration, distribution::IDocumentFeed &feed,
               store::IConfigStore &store, membership::IMembership &membership,
               membership::ISharedFacts &facts, upstreams::IUpstreams &upstreams,
               telemetry::ITimeLine &timeLine);

    //! Starts what is due; a few times a second.
    void tick(TimePoint now);

private:
    //! What is under way for one service.
    struct Work
    {
        bool isWriting = false;
        std::vector<WeightedMember> wanted;
        TimePoint wantedSince{};
        TimePoint retryAt{};

        //! Document in which nothing is to be done as long as the wanted members stay the same.
        std::int64_t quietRevision = 0;
    };

    void updateResponsibility();
    void updateLost(TimePoint now);
    void advance(const settings::Service &service, const settings::Configuration &configuration,
                 TimePoint now);
    void advanceDocument(const settings::Service &service, const store::StoredValue &stored,
                         TimePoint now);
    std::vector<WeightedMember> wantedMembers(const settings::Service &service,
                                              const settings::Configuration &configuration) const;
    bool mayRetireOldest(const settings::Service &service, const EpochDocument &document,
                         TimePoint now) const;
    void write(const ServiceName &service, std::int64_t expected, const EpochDocument &document,
               TimePoint now);
    void readBack(const ServiceName &service);

    settings::IConfigurationSource &configuration;
    distribution::IDocumentFeed &feed;
    store::IConfigStore &store;
    membership::IMembership &membership;
    membership::ISharedFacts &facts;
    upstreams::IUpstreams &upstreams;
    telemetry::ITimeLine &timeLine;
    std::map<ServiceName, Work> works;

    //! Groups of services whose epochs this VM writes.
    std::vector<bool> responsible;
    bool isResponsibilityStale = true;

    std::map<UpstreamName, TimePoint> goneSince;
    std::set<UpstreamName> lost;
    TimePoint lastTick{};
};
}
