#include "app/storeview.h"

#include "flows/types/flowdecision.h"
#include "net/ieventloop.h"
#include "net/ihttpconnection.h"
#include "platform/keys.h"
#include "routing/routetable.h"
#include "settings/types/vmsettings.h"
#include "store/types/readkind.h"
#include "store/types/storelisting.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <algorithm>
#include <utility>

namespace radishladder::app {
namespace {
//! Configurations come in quick succession and are large, so they wait for a shorter part of their
//! limit than the limit allows.
constexpr int kOperatorPauseDivisor = 6;

//! The member list may be this old: it only determines which VM opens flows to an upstream in its
//! warm-up, and the warm-up limits allow for two VMs that do so at once.
constexpr std::chrono::milliseconds kMemberPollInterval{2500};

//! Operators can accept this delay until a freeze of the fleet takes effect.
constexpr std::chrono::milliseconds kSwitchPollInterval{5000};

//! A healthy store has listed the members within this time.
constexpr std::chrono::milliseconds kMemberListTimeout{30};

//! When all VMs start for the first time, they have joined the membership within this time.
constexpr std::chrono::milliseconds kFirstStartDelay{700};

//! Relays, which start without this delay, have listed all prefixes within this time.
constexpr std::chrono::milliseconds kRelayStartDelay{400};

store::DelayBudget operatorBudget(const settings::VmSettings &settings)
{
    return store::DelayBudget(
        std::min(settings.maxConfigurationDelay, settings.maxEvacuationDelay));
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
    : loop(loop), log(log), isFirstStart(settings.isFirstStart),
      upstreamDelays(settings.maxDrainDelay), operatorDelays(operatorBudget(settings)),
      store([connect, server = settings.store]() { return connect(server); }),
      relayedStore(this->store, this->changeCache, loop, clock, log, connect, settings.name,
                   settings.seeds),
      relayServer(this->changeCache, clock),
      leaseMembership(this->relayedStore, loop, clock, log, settings.name, settings.dataCentre,
                      ownRelayOffer(settings)),
      upstreamUpdater(registry, clock, log),
      routingUpdater(routes, clock, log, settings.maxStoreRecovery),
      upstreamListener(this->upstreamUpdater), operatorListener(this->routingUpdater),
      upstreamFollower(this->relayedStore, loop, this->upstreamListener, platform::kUpstreamPrefix,
                       {.watchWait = store::FollowerPacing::watchWaitFor(settings.maxStoreRecovery),
                        .batchDelay = this->upstreamDelays.relayPause()}),
      operatorFollower(
          this->relayedStore, loop, this->operatorListener, platform::kOperatorPrefix,
          {.watchWait = store::FollowerPacing::watchWaitFor(settings.maxStoreRecovery),
           .batchDelay = std::min(settings.maxConfigurationDelay / kOperatorPauseDivisor,
                                  this->operatorDelays.relayPause())}),
      memberPoller(this->relayedStore, loop, this->leaseMembership,
                   membership::LeaseMembership::prefix(settings.dataCentre), kMemberPollInterval),
      freezeSwitch(settings.dataCentre, log),
      freezePoller(this->relayedStore, loop, this->freezeSwitch, switches::FreezeSwitch::prefix(),
                   kSwitchPollInterval),
      routes(routes)
{
    this->routingUpdater.setReturnHandler([this]() { this->awaitUpstreams(); });
    this->upstreamFollower.setDeliveryHandler([this]() { this->onUpstreamsDelivered(); });
    this->operatorFollower.setDeliveryHandler([this]() { this->onOperatorDelivered(); });
    this->relayedStore.setMembership(this->leaseMembership);
    this->relayedStore.setBudget(std::string(platform::kUpstreamPrefix), this->upstreamDelays);
    this->relayedStore.setBudget(std::string(platform::kOperatorPrefix), this->operatorDelays);
    this->relayedStore.setPauseEndHandler([this]() { this->leaseMembership.checkStore(); });
    this->store.setEraTracker(this->relayedStore.eras());
    this->relayedStore.eras().addListener(
        [this](std::uint64_t oldEra, std::uint64_t newEra) { this->onEraChanged(oldEra, newEra); });
    this->relayServer.setOfferHandler([this](const distribution::SnapshotOffer &offer) {
        return this->relayedStore.acceptOffer(offer);
    });
}

StoreView::~StoreView() = default;

void StoreView::start(ConnectionHandler handler)
{
    this->connectionHandler = std::move(handler);
    this->leaseMembership.setConnectionListener(*this);
    this->relayedStore.setConnectionHandler([this](bool isConnected) {
        if (isConnected) {
            this->leaseMembership.checkStore();
        } else {
            this->leaseMembership.suspectStore("a relay lost its connection to the store");
        }
    });
    this->leaseMembership.join();
    if (this->isFirstStart) {
        this->loop.after(kFirstStartDelay, [this]() { this->startAfterRelays(); });
    } else {
        this->startAfterMemberList();
    }
}

void StoreView::startAfterMemberList()
{
    // The relays are chosen from the member list. If the store is slow to list the members, this VM
    // lists and watches at the store directly.
    this->memberPoller.start([this]() {
        this->reportMembers();
        this->startFollowers();
    });
    this->loop.after(kMemberListTimeout, [this]() { this->startFollowers(); });
}

void StoreView::startAfterRelays()
{
    // Load pattern: a whole fleet starts at once. Each VM waits until it can list through a relay,
    // because otherwise every VM would list all prefixes from the store itself.
    this->memberPoller.start([this]() {
        const auto delay =
            this->relayedStore.hasRelay() ? kRelayStartDelay : std::chrono::milliseconds(0);
        this->loop.after(delay, [this]() { this->startFollowers(); });
    });
}

void StoreView::reportMembers()
{
    if (!this->areMembersReported && this->leaseMembership.hasListed()) {
        this->areMembersReported = true;
        if (this->membersListedHandler) {
            this->membersListedHandler();
        }
    }
}

void StoreView::startFollowers()
{
    if (this->isFollowing) {
        return;
    }
    this->isFollowing = true;
    this->operatorFollower.start();
    this->upstreamFollower.start();
    this->freezePoller.start();
}

void StoreView::listFleet(AddressHandler handler)
{
    this->store.list(membership::LeaseMembership::fleetPrefix(), "", store::ReadKind::Stale,
                     [handler = std::move(handler)](const store::StoreListing &page) {
                         if (page.status == store::StoreStatus::Ok) {
                             handler(membership::LeaseMembership::relayAddresses(page.items));
                         }
                     });
}

void StoreView::confirm(const flows::FlowDecision &decision)
{
    if (decision.needsConfirmation) {
        this->upstreamFollower.confirm();
    }
    if (decision.needsRouteConfirmation) {
        this->operatorFollower.confirm();
    }
}

void StoreView::tick()
{
    this->upstreamUpdater.tick();
    if (this->upstreamUpdater.needsConfirmation()) {
        this->upstreamFollower.confirm();
    }
    this->relayServer.tick();
    this->relayedStore.tick();
    this->leaseMembership.setLiveRelay(this->relayedStore.hasLiveRelay());
    this->updatePacing();
    this->reportMembers();
}

void StoreView::updatePacing()
{
    const bool isRelay = this->relayedStore.isRelay();
    const auto pause =
        isRelay ? this->upstreamDelays.relayPause() : this->upstreamDelays.directPause();
    if (this->routes.limitsWarmup()) {
        // Each VM that takes an upstream for warm sends it flows at the full rate, so there is no
        // time in which changes may be gathered.
        this->upstreamFollower.setBatchDelays(std::chrono::milliseconds(0),
                                              std::chrono::milliseconds(0));
    } else {
        this->upstreamFollower.setBatchDelays(pause, store::DelayBudget::kPeerPause);
    }
    this->leaseMembership.setRenewInterval(isRelay ? std::min(this->upstreamDelays.renewInterval(),
                                                              this->operatorDelays.renewInterval())
                                                   : membership::LeaseMembership::kRenewInterval);
}

void StoreView::awaitUpstreams()
{
    this->awaitedRevision = std::max(this->awaitedRevision.value_or(store::StoreRevision()),
                                     this->operatorFollower.delivered());
    this->onUpstreamsDelivered();
}

void StoreView::onUpstreamsDelivered()
{
    if (!this->awaitedRevision) {
        return;
    }
    if (this->upstreamFollower.delivered() < *this->awaitedRevision) {
        this->upstreamFollower.confirm();
        return;
    }
    this->awaitedRevision.reset();
    this->routingUpdater.completeReturns();
}

void StoreView::onOperatorDelivered()
{
    this->updatePacing();
    // A listing of the upstreams by a relay may be older than that of the evacuations.
    const bool isFirst = !std::exchange(this->hasConfiguration, this->routes.isLoaded());
    if (isFirst && this->routes.limitsWarmup()) {
        this->awaitUpstreams();
    }
}

void StoreView::onEraChanged(std::uint64_t oldEra, std::uint64_t newEra)
{
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "store.era_changed")
                        .number("old", static_cast<std::int64_t>(oldEra))
                        .number("new", static_cast<std::int64_t>(newEra)));
    this->leaseMembership.onNewEra(newEra);
    this->operatorFollower.onNewEra();
    this->upstreamFollower.onNewEra();
    this->memberPoller.onNewEra();
    this->freezePoller.onNewEra();
}

void StoreView::onStoreLost(const std::string &detail)
{
    this->connectionHandler(false);
    this->relayedStore.onStoreLost(detail);
    this->operatorFollower.onStoreLost(detail);
    this->upstreamFollower.onStoreLost(detail);
}

void StoreView::onStoreRestored()
{
    this->connectionHandler(true);
    this->relayedStore.onStoreRestored();
    this->operatorFollower.onStoreRestored();
    this->upstreamFollower.onStoreRestored();
}
}
