#pragma once

#include "placement/iplacement.h"
#include "settings/types/service.h"

#include <array>
#include <map>

namespace radishladder::flows {

//! Tables set by hand: a service has kSlots slots, a flow's slot is its hash modulo kSlots.
class FakePlacement : public placement::IPlacement
{
public:
    static constexpr std::size_t kSlots = 4;
    using Views = std::array<placement::SlotView, kSlots>;

    std::optional<placement::ServiceIndex> service(const net::Endpoint &address,
                                                   std::uint8_t protocol) const override
    {
        for (std::size_t i = 0; i < this->services.size(); ++i) {
            if (this->services[i].address == address
                && static_cast<std::uint8_t>(this->services[i].protocol) == protocol) {
                return static_cast<placement::ServiceIndex>(i);
            }
        }
        return std::nullopt;
    }
    const settings::Service &description(placement::ServiceIndex service) const override
    {
        return this->services[service];
    }
    placement::SlotView view(placement::ServiceIndex service, std::uint64_t hash) const override
    {
        return this->views.at(service)[hash % kSlots];
    }
    std::uint64_t homeKey(placement::ServiceIndex service, std::uint64_t hash) const override
    {
        return service * 1000 + hash % 64;
    }
    const placement::UpstreamEntry &upstream(placement::UpstreamIndex index) const override
    {
        return this->entries[index];
    }
    std::optional<placement::UpstreamIndex> findWireId(std::uint64_t wireId) const override
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            if (this->entries[i].wireId == wireId) {
                return static_cast<placement::UpstreamIndex>(i);
            }
        }
        return std::nullopt;
    }
    void alternatives(placement::ServiceIndex service, std::uint64_t,
                      std::vector<placement::UpstreamIndex> &result) const override
    {
        result.clear();
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            if (this->entries[i].service == service) {
                result.push_back(static_cast<placement::UpstreamIndex>(i));
            }
        }
    }
    void noteOldestUsed(placement::ServiceIndex, TimePoint) override { ++this->oldestUses; }
    void recordAdded(placement::ServiceIndex, std::uint64_t,
                     placement::UpstreamIndex upstream) override
    {
        ++this->held[upstream];
    }
    void recordRemoved(placement::ServiceIndex, std::uint64_t,
                       placement::UpstreamIndex upstream) override
    {
        --this->held[upstream];
    }

    //! Sets all slots of \a service.
    void setViews(placement::ServiceIndex service, const placement::SlotView &view)
    {
        this->views[service].fill(view);
    }

    std::vector<settings::Service> services;
    std::vector<placement::UpstreamEntry> entries;
    std::map<placement::ServiceIndex, Views> views;
    std::map<placement::UpstreamIndex, int> held;
    int oldestUses = 0;
};
}
