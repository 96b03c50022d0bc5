#include "slopes/placementslopes.h"

#include "distribution/idocumentfeed.h"
#include "global/systemclock.h"
#include "membership/isharedfacts.h"
#include "placement/epochcodec.h"
#include "placement/epochplacement.h"
#include "placement/slotassignment.h"
#include "settings/configurationholder.h"
#include "slopes/processusage.h"
#include "slopes/syntheticconfiguration.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"
#include "telemetry/timeline.h"
#include "upstreams/iupstreams.h"

namespace radishladder::slopes {
namespace {
constexpr std::size_t kUpstreamsPerService = 19;
constexpr int kTicks = 50;

//! Hands documents straight to the placement and keeps none.
class PassingFeed : public distribution::IDocumentFeed
{
public:
    std::optional<store::StoredValue> find(const std::string &) const override
    {
        return std::nullopt;
    }
    std::int64_t revision() const override { return 0; }
    void subscribe(const std::string &, Subscriber subscriber) override
    {
        this->subscriber = std::move(subscriber);
    }
    void offer(const store::StoredValue &document) override { this->subscriber(document); }

private:
    Subscriber subscriber;
};

//! A fleet in which nobody states anything.
class NoFacts : public membership::ISharedFacts
{
public:
    void publish(const std::string &, const Value &) override { }
    void withdraw(const std::string &) override { }
    bool isKnownByAll(const std::string &, std::chrono::steady_clock::time_point) const override
    {
        return true;
    }
    std::optional<Value> value(const VmName &, const std::string &) const override
    {
        return std::nullopt;
    }
    std::vector<VmName> origins(const std::string &) const override { return {}; }
    void subscribe(Subscriber) override { }
};

class ReadyUpstreams : public upstreams::IUpstreams
{
public:
    upstreams::UpstreamState state(const UpstreamName &) const override
    {
        return upstreams::UpstreamState::Ready;
    }
    bool admitRequest(const UpstreamName &, TimePoint) override { return true; }
    void requestEnded(const UpstreamName &, upstreams::Observation, std::chrono::milliseconds,
                      TimePoint) override
    { }
    bool admitFlow(const UpstreamName &, TimePoint) override { return true; }
    void flowEnded(const UpstreamName &, TimePoint) override { }
    void subscribe(Subscriber) override { }
};

store::StoredValue epochOf(const settings::Service &service)
{
    std::vector<placement::WeightedMember> members;
    placement::EpochDocument document;
    for (const settings::Upstream &upstream : service.upstreams) {
        const std::uint64_t wireId = placement::EpochPlacement::wireIdOf(upstream);
        members.push_back({wireId, upstream.weight});
        document.members[wireId] = {upstream.name, upstream.dataCentre, upstream.tunnel};
    }
    document.tables.push_back(placement::carrySlots({}, members));
    return {.key = std::string(store::kEpochPrefix) + service.name.str(),
            .value = placement::EpochCodec().encode(document),
            .revision = 1};
}

double milliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}
}

std::vector<Slope> measurePlacement()
{
    Slope memory("forwarding", "heap bytes of the slot tables", "service");
    Slope tick("forwarding", "ms of processor time of one placement tick", "service");
    Slope change("forwarding", "ms of processor time to apply a changed configuration", "service");
    Slope documents("store", "stored bytes of the epochs", "service");
    for (const std::size_t services : {39U, 390U, 3900U}) {
        const auto size = static_cast<double>(services);
        SystemClock clock;
        telemetry::TimeLine timeLine(clock, VmName("vm"), DataCentreName("a"));
        settings::ConfigurationHolder holder;
        settings::Configuration configuration =
            syntheticConfiguration(services, kUpstreamsPerService);
        holder.accept(configuration);
        PassingFeed feed;
        NoFacts facts;
        ReadyUpstreams upstreams;
        const auto startHeap = heapBytes();
        placement::EpochPlacement placement(holder, feed, facts, upstreams, timeLine);
        double bytes = 0;
        for (const settings::Service &service : configuration.services) {
            const auto document = epochOf(service);
            bytes += static_cast<double>(document.value.size());
            feed.offer(document);
        }
        memory.add(size, static_cast<double>(heapBytes() - startHeap));
        documents.add(size, bytes);
        auto start = threadTime();
        for (int i = 0; i < kTicks; ++i) {
            placement.tick(clock.now());
        }
        tick.add(size, milliseconds(threadTime() - start) / kTicks);
        ++configuration.generation;
        start = threadTime();
        holder.accept(configuration);
        change.add(size, milliseconds(threadTime() - start));
    }
    return {memory, tick, change, documents};
}
}
