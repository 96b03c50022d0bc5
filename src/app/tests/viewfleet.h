#pragma once

#include "app/storeview.h"
#include "delayedconnection.h"
#include "net/manualeventloop.h"
#include "platform/standins/routeentry.h"
#include "platform/standins/storeentries.h"
#include "platform/standins/storeserver.h"
#include "platform/standins/upstreamentry.h"
#include "routing/routetable.h"
#include "settings/types/vmsettings.h"
#include "standins/memorystore.h"
#include "telemetry/ieventlog.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <memory>
#include <string>
#include <vector>

namespace radishladder::app {

//! The views that the VMs of a data centre have of one store, on virtual time.
class ViewFleet : public telemetry::IEventLog
{
public:
    struct View
    {
        View(ViewFleet &fleet, int number, const settings::VmSettings &settings)
            : view(settings, fleet.loop, fleet.clock, fleet, this->routes, this->registry,
                   [&fleet, number](const net::Endpoint &server) {
                       return fleet.connect(number, server);
                   })
        { }

        routing::RouteTable routes;
        upstreams::UpstreamRegistry registry{std::chrono::seconds(60)};
        StoreView view;

        //! Members that were known when their list was reported; 0 before that.
        std::size_t listedMembers = 0;

        //! No packet passes between this VM and the store.
        bool isCut = false;
    };

    explicit ViewFleet(int count)
    {
        // The store of the pages sends no era.
        this->store.setEra(0);
        for (int i = 0; i < count; ++i) {
            this->add();
        }
    }

    //! Starts another VM; the port of its relay address is its number.
    View &add()
    {
        const int number = static_cast<int>(this->views.size());
        settings::VmSettings settings;
        settings.name = VmName("vm-" + std::to_string(number));
        settings.dataCentre = DataCentreName("a");
        settings.relay = net::Endpoint{1, static_cast<std::uint16_t>(number)};
        settings.store = kStore;
        this->views.push_back(std::make_unique<View>(*this, number, settings));
        View &added = *this->views.back();
        added.view.setMembersListedHandler(
            [&added]() { added.listedMembers = added.view.membership().members().size(); });
        added.view.start([](bool) {});
        this->loop.every(std::chrono::milliseconds(250), [&added]() { added.view.tick(); });
        return added;
    }

    void publishUpstream(std::uint64_t id, int coldMs)
    {
        platform::UpstreamEntry entry;
        entry.id = id;
        entry.service = "portal";
        entry.address = {2, static_cast<std::uint16_t>(id)};
        entry.dataCentre = "a";
        entry.coldMs = coldMs;
        this->store.put(platform::entryKey(id), platform::entryValue(entry));
    }

    bool accepts(telemetry::LogKind) override { return false; }
    void write(const telemetry::LogEntry &) override { }

    //! Delay of the store in each direction.
    std::chrono::milliseconds storeDelay{2};

    ManualClock clock;
    net::ManualEventLoop loop{this->clock};
    standins::MemoryStore store{this->loop};
    std::vector<std::unique_ptr<View>> views;

private:
    static constexpr net::Endpoint kStore{9, 9};

    std::unique_ptr<net::IHttpConnection> connect(int number, const net::Endpoint &server)
    {
        const bool isStore = server == kStore;
        const auto handle = [this, number, server,
                             isStore](const net::HttpRequest &request,
                                      const net::IHttpServer::Responder &respond) {
            if (!isStore) {
                this->views.at(server.port)->view.relay().handle(request, respond);
            } else if (!this->views.at(static_cast<std::size_t>(number))->isCut) {
                this->server.handle(request, respond);
            }
        };
        const auto delay = isStore ? this->storeDelay : std::chrono::milliseconds(1);
        return std::make_unique<DelayedConnection>(this->loop, delay, handle);
    }

    platform::StoreServer server{this->store};
};
}
