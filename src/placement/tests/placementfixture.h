#pragma once

#include "global/manualclock.h"
#include "placement/epochcodec.h"
#include "placement/epochplacement.h"
#include "placement/slotassignment.h"
#include "placement/tests/fakefacts.h"
#include "placement/tests/fakefeed.h"
#include "placement/tests/fakemembership.h"
#include "placement/tests/fakestore.h"
#include "placement/tests/fakeupstreams.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"
#include "store/storekeys.h"
#include "telemetry/timeline.h"

namespace radishladder::placement::fakes {

//! One VM's placement with everything around it in the hands of the test: one service, four
//! upstreams.
struct PlacementFixture
{
    PlacementFixture() { this->holder.accept(this->configuration); }

    void change()
    {
        ++this->configuration.generation;
        this->holder.accept(this->configuration);
    }

    settings::Upstream &upstream(std::size_t i)
    {
        return this->configuration.services[0].upstreams[i];
    }

    std::vector<WeightedMember> weighted(std::size_t count)
    {
        std::vector<WeightedMember> members;
        for (std::size_t i = 0; i < count; ++i) {
            members.push_back({EpochPlacement::wireIdOf(this->upstream(i)), 100});
        }
        return members;
    }

    void offer(const EpochDocument &document)
    {
        this->feed.offer({.key = std::string(store::kEpochPrefix) + "portal",
                          .value = EpochCodec().encode(document),
                          .revision = this->feed.revision() + 1});
    }

    //! Document with one active table over all upstreams.
    EpochDocument firstDocument()
    {
        EpochDocument document;
        document.tables.push_back(carrySlots({}, this->weighted(4)));
        for (const settings::Upstream &upstream : this->configuration.services[0].upstreams) {
            document.members[EpochPlacement::wireIdOf(upstream)] = {
                upstream.name, upstream.dataCentre, upstream.tunnel};
        }
        return document;
    }

    static settings::Configuration fourUpstreams()
    {
        settings::Configuration configuration{.generation = 1};
        configuration.dataCentres = {{DataCentreName("a"), false}, {DataCentreName("b"), false}};
        settings::Service service{.name = ServiceName("portal"), .address = {0x7fc80001, 443}};
        service.idleLimit = std::chrono::seconds(60);
        for (std::uint32_t i = 0; i < 4; ++i) {
            service.upstreams.push_back({.name = UpstreamName("h" + std::to_string(i)),
                                         .dataCentre = DataCentreName(i < 2 ? "a" : "b"),
                                         .tunnel = {0x7f020001 + i, 6080}});
        }
        configuration.services.push_back(service);
        return configuration;
    }

    settings::Configuration configuration = fourUpstreams();
    ManualClock clock;
    telemetry::TimeLine timeLine{this->clock, VmName("vm-a"), DataCentreName("a")};
    settings::ConfigurationHolder holder;
    FakeFeed feed;
    FakeFacts facts;
    FakeUpstreams upstreams;
    FakeStore store;
    FakeMembership membership;
    EpochPlacement placement{this->holder, this->feed, this->facts, this->upstreams,
                             this->timeLine};
};
}
