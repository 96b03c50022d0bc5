#include "app/fleet.h"

#include "global/hash.h"
#include "global/iclock.h"
#include "membership/types/listedvm.h"
#include "membership/types/member.h"
#include "membership/vmlistreader.h"
#include "net/idatagramsocket.h"
#include "net/ieventloop.h"
#include "settings/types/configuration.h"
#include "settings/types/vmsettings.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"
#include "telemetry/itimeline.h"

#include <random>

namespace radishladder::app {
namespace {
constexpr std::chrono::milliseconds kHeartbeatTick{50};
constexpr std::chrono::milliseconds kFeedTick{100};

//! Grows with each start of the VM as long as the clock of its machine does not go back over a
//! restart.
std::uint64_t startNumber(const IClock &clock)
{
    const auto wall = std::chrono::time_point_cast<std::chrono::milliseconds>(clock.wallNow());
    return static_cast<std::uint64_t>(wall.time_since_epoch().count());
}

membership::Member ownMember(const settings::VmSettings &settings, std::uint64_t incarnation)
{
    membership::Member member;
    member.name = settings.name;
    member.dataCentre = settings.dataCentre;
    member.data = settings.data;
    member.peer = settings.peer;
    member.requests = settings.requests;
    member.admin = settings.admin;
    member.incarnation = incarnation;
    return member;
}
}

Fleet::Fleet(const settings::VmSettings &settings, net::IDatagramSocket &socket,
             net::IHttpClient &client, store::IConfigStore &store, const IClock &clock,
             telemetry::ITimeLine &timeLine, telemetry::IMetrics &metrics)
    : random(hash64(settings.name.str(), std::random_device()())),
      transport(settings.name, startNumber(clock), settings.peerKeys, socket, metrics),
      membership(ownMember(settings, startNumber(clock)), this->transport, this->random, clock,
                 timeLine, metrics),
      facts(this->membership, this->transport, clock, metrics),
      source(client, this->random, settings.peerKeys),
      feed(this->membership, store, this->source, this->random, clock, timeLine, metrics),
      server(this->feed, settings.peerKeys), follower(this->feed, this->configuration, timeLine),
      socket(socket)
{
    this->membership.onAddresses([this](const std::vector<membership::ListedVm> &list) {
        this->transport.useAddresses(list);
    });
    this->followVmList(timeLine);
    // Subscribed before the parts that rank VMs, so that they see the new ranks.
    this->configuration.subscribe([this](const settings::Configuration &accepted) {
        std::set<DataCentreName> out;
        for (const settings::DataCentre &dataCentre : accepted.dataCentres) {
            if (dataCentre.out) {
                out.insert(dataCentre.name);
            }
        }
        this->membership.keepOutOfDuties(out);
    });
}

void Fleet::followVmList(telemetry::ITimeLine &timeLine)
{
    this->feed.subscribe(std::string(store::kVmListKey),
                         [this, &timeLine](const store::StoredValue &document) {
                             if (document.removed) {
                                 return;
                             }
                             membership::VmListReader reader;
                             const auto list = reader.read(document.value);
                             if (list) {
                                 this->membership.applyVmList(document.revision, *list);
                                 return;
                             }
                             timeLine.record({.kind = "vmlist.refused",
                                              .reason = reader.lastReason().code,
                                              .detail = reader.lastReason().detail});
                         });
}

void Fleet::run(net::IEventLoop &loop)
{
    loop.watchReadable(this->socket.descriptor(), [this] {
        this->transport.receive();
        this->transport.flush();
    });
    loop.every(kHeartbeatTick, [this] { this->tick(); });
    loop.every(kFeedTick, [this] { this->feed.tick(); });
}

void Fleet::tick()
{
    this->membership.reportOwn(this->configuration.current()->generation, this->feed.revision());
    this->membership.reportNewestDocument(this->feed.newestRevision());
    this->membership.tick();
    this->facts.tick();
    this->transport.flush();
}
}
