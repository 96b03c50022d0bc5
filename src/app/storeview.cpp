#include "app/storeview.h"

#include "net/ieventloop.h"
#include "net/ihttpconnection.h"
#include "platform/keys.h"
#include "settings/types/vmsettings.h"

namespace radishladder::app {
namespace {
//! Pauses after a watch response, as fractions of the time limit for the watched changes: changes
//! in quick succession are then received with one call and still arrive well within the limit.
constexpr double kUpstreamGatherFraction = 0.4;
constexpr int kOperatorGatherDivisor = 6;

//! A watch waits for at most the time limit for the watched changes plus this margin. A watch whose
//! response was lost in an outage too short for lease renewals to detect thus ends by its own
//! timeout. After an outage the store counts as unstable for longer than this margin.
constexpr std::chrono::milliseconds kWatchMargin{2000};

//! Members may be polled slowly: they limit which VM opens flows to an upstream in its warm-up, and
//! the warm-up limits allow for two VMs that do so at once.
constexpr std::chrono::milliseconds kMemberPollInterval{2500};

//! Operators can accept this delay until a freeze of the fleet takes effect.
constexpr std::chrono::milliseconds kSwitchPollInterval{5000};

//! A healthy store has listed the members within this time.
constexpr std::chrono::milliseconds kMemberListTimeout{30};

//! When the whole system starts for the first time, all VMs have joined within this time.
constexpr std::chrono::milliseconds kFirstStartDelay{700};

//! Relays have listed all prefixes within this time.
constexpr std::chrono::milliseconds kRelayStartDelay{400};

std::chrono::milliseconds gatherTime(std::chrono::milliseconds drain)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(drain * kUpstreamGatherFraction);
}

std::optional<membership::RelayOffer> ownRelayOffer(const settings::VmSettings &settings)
{
    if (!settings.relay) {
        return std::nullopt;
    }
    return membership::RelayOffer{.address = *settings.relay, .mbps = settings.linkMbps};
}
}

StoreView::StoreView(const settings::VmSettings &settings, net::IEventLoop &loop,
                     const IClock &clock, telemetry::IEventLog &log, routing::RouteTable &routes,
                     upstreams::UpstreamRegistry &registry, const ConnectionFactory &connect)
    : loop(loop), firstStart(settings.firstStart),
      store([connect, server = settings.store]() { return connect(server); }),
      fanout(this->store, this->changeCache, loop, clock, log, connect, settings.name,
             settings.seeds),
      relayServer(this->changeCache, clock),
      leaseMembership(this->fanout, loop, clock, log, settings.name, settings.dataCentre,
                      ownRelayOffer(settings)),
      upstreamUpdater(registry, clock, log), routingUpdater(routes, clock, log),
      upstreamFeed(this->upstreamUpdater), operatorFeed(this->routingUpdater),
      upstreamFollower(
          this->fanout, loop, this->upstreamFeed, platform::kUpstreamPrefix,
          {.watchWait = settings.drain + kWatchMargin, .batchDelay = gatherTime(settings.drain)}),
      operatorFollower(this->fanout, loop, this->operatorFeed, platform::kOperatorPrefix,
                       {.watchWait = settings.configuration + kWatchMargin,
                        .batchDelay = settings.configuration / kOperatorGatherDivisor}),
      memberPoller(this->fanout, loop, this->leaseMembership,
                   membership::LeaseMembership::prefix(settings.dataCentre), kMemberPollInterval),
      freeze(settings.dataCentre, log),
      freezePoller(this->fanout, loop, this->freeze, switches::FreezeSwitch::prefix(),
                   kSwitchPollInterval)
{
    this->fanout.setMembership(this->leaseMembership);
}

StoreView::~StoreView() = default;

void StoreView::start(ConnectionHandler handler)
{
    this->connectionHandler = std::move(handler);
    this->leaseMembership.setConnectionListener(*this);
    this->fanout.watchConnection([this](bool isConnected) {
        if (isConnected) {
            this->leaseMembership.checkStore();
        } else {
            this->leaseMembership.suspectStore("a relay lost the store");
        }
    });
    this->leaseMembership.join();
    if (this->firstStart) {
        this->loop.after(kFirstStartDelay, [this]() { this->startAfterMembers(); });
    } else {
        this->startWithMembers();
    }
}

void StoreView::startWithMembers()
{
    // The members show which peers are relays. If the store is slow to list the members, this VM
    // follows the store directly.
    this->memberPoller.start([this]() { this->follow(); });
    this->loop.after(kMemberListTimeout, [this]() { this->follow(); });
}

void StoreView::startAfterMembers()
{
    // Load pattern: a whole fleet starts at once. Each VM waits until it can list through a relay,
    // because otherwise every VM would list all prefixes from the store itself.
    this->memberPoller.start([this]() {
        const auto delay =
            this->fanout.hasRelay() ? kRelayStartDelay : std::chrono::milliseconds(0);
        this->loop.after(delay, [this]() { this->follow(); });
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
    this->upstreamUpdater.tick();
    this->relayServer.tick();
    this->fanout.tick();
    this->leaseMembership.setLiveRelay(this->fanout.hasLiveRelay());
}

void StoreView::onStoreLost(const std::string &detail)
{
    this->connectionHandler(false);
    this->fanout.onStoreLost(detail);
    this->operatorFollower.onStoreLost(detail);
    this->upstreamFollower.onStoreLost(detail);
}

void StoreView::onStoreRestored()
{
    this->connectionHandler(true);
    this->fanout.onStoreRestored();
    this->operatorFollower.onStoreRestored();
    this->upstreamFollower.onStoreRestored();
}
}
