#include "app/storeview.h"

#include "net/ieventloop.h"
#include "net/ihttpconnection.h"
#include "platform/keys.h"
#include "settings/types/vmsettings.h"

namespace radishladder::app {
namespace {
//! Pauses between two answers of a watch, as parts of the bound of what is watched: changes that
//! come one after the other then cost one call for all, and are still heard well within the bound.
constexpr double kUpstreamGatherPart = 0.4;
constexpr int kOperatorGatherDivisor = 6;

//! A watch whose answer was lost in a silence too short for renewals to notice ends by itself,
//! while the store does not count as stable again for longer than this.
constexpr std::chrono::milliseconds kWatchBeyondBound{2000};

//! Membership only bounds who warms up an upstream, where two may err at once.
constexpr std::chrono::milliseconds kMemberPeriod{2500};

//! Operators who freeze the fleet can wait for so long.
constexpr std::chrono::milliseconds kSwitchPeriod{5000};

//! Time in which a store that is well has told who the neighbours are.
constexpr std::chrono::milliseconds kMemberWait{30};

//! Time in which all VMs of a system that starts have become members.
constexpr std::chrono::milliseconds kFirstStartWait{700};

//! Time in which relays have listed everything.
constexpr std::chrono::milliseconds kRelayStartWait{400};

std::chrono::milliseconds gatherTime(std::chrono::milliseconds drain)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(drain * kUpstreamGatherPart);
}

std::optional<membership::RelayOffer> relayOffer(const settings::VmSettings &settings)
{
    if (!settings.relay) {
        return std::nullopt;
    }
    return membership::RelayOffer{.address = *settings.relay, .mbps = settings.linkMbps};
}
}

StoreView::StoreView(const settings::VmSettings &settings, net::IEventLoop &loop,
                     const IClock &clock, telemetry::IEventLog &log, routing::RouteTable &routes,
                     upstreams::UpstreamRegistry &registry, const Connect &connect)
    : loop(loop), firstStart(settings.firstStart),
      store([connect, server = settings.store]() { return connect(server); }),
      fanout(this->store, this->board, loop, clock, log, connect, settings.name, settings.seeds),
      relayServer(this->board, clock), members(this->fanout, loop, clock, log, settings.name,
                                               settings.dataCentre, relayOffer(settings)),
      upstreamKeeper(registry, clock, log), routingKeeper(routes, clock, log),
      upstreamFeed(this->upstreamKeeper), operatorFeed(this->routingKeeper),
      upstreamFollower(
          this->fanout, loop, this->upstreamFeed, platform::kUpstreamPrefix,
          {.watchWait = settings.drain + kWatchBeyondBound, .gather = gatherTime(settings.drain)}),
      operatorFollower(this->fanout, loop, this->operatorFeed, platform::kOperatorPrefix,
                       {.watchWait = settings.configuration + kWatchBeyondBound,
                        .gather = settings.configuration / kOperatorGatherDivisor}),
      memberPoller(this->fanout, loop, this->members,
                   membership::LeaseMembership::prefix(settings.dataCentre), kMemberPeriod),
      freeze(settings.dataCentre, log),
      freezePoller(this->fanout, loop, this->freeze, switches::FreezeSwitch::prefix(),
                   kSwitchPeriod)
{
    this->fanout.setMembership(this->members);
}

StoreView::~StoreView() = default;

void StoreView::start(ContactHandler handler)
{
    this->contactHandler = std::move(handler);
    this->members.watchContact(*this);
    this->fanout.watchContact([this](bool answers) {
        if (answers) {
            this->members.check();
        } else {
            this->members.suspectStore("a relay has lost the store");
        }
    });
    this->members.join();
    if (this->firstStart) {
        this->loop.after(kFirstStartWait, [this]() { this->startAfterMembers(); });
    } else {
        this->startWithMembers();
    }
}

void StoreView::startWithMembers()
{
    // Members show which neighbours can hand over what the store says; a store that is slow to name
    // them is asked itself.
    this->memberPoller.start([this]() { this->follow(); });
    this->loop.after(kMemberWait, [this]() { this->follow(); });
}

void StoreView::startAfterMembers()
{
    // Load pattern: a whole fleet starts, and each VM that did not wait would list everything.
    this->memberPoller.start([this]() {
        const auto wait = this->fanout.hasRelay() ? kRelayStartWait : std::chrono::milliseconds(0);
        this->loop.after(wait, [this]() { this->follow(); });
    });
}

void StoreView::follow()
{
    if (this->isFollowing) {
        return;
    }
    this->isFollowing = true;
    this->operatorFollower.start();
    this->upstreamFollower.start();
    this->freezePoller.start();
}

void StoreView::tick()
{
    this->upstreamKeeper.tick();
    this->relayServer.tick();
    this->fanout.tick();
    this->members.setLiveRelay(this->fanout.hasLiveRelay());
}

void StoreView::onStoreTrouble(const std::string &detail)
{
    this->contactHandler(false);
    this->fanout.onStoreTrouble(detail);
    this->operatorFollower.onStoreTrouble(detail);
    this->upstreamFollower.onStoreTrouble(detail);
}

void StoreView::onStoreReturned()
{
    this->contactHandler(true);
    this->fanout.onStoreReturned();
    this->operatorFollower.onStoreReturned();
    this->upstreamFollower.onStoreReturned();
}
}
