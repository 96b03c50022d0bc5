#include "membership/leasemembership.h"

#include "global/hash.h"
#include "global/iclock.h"
#include "net/ieventloop.h"
#include "store/iconnectionlistener.h"
#include "store/istore.h"
#include "store/types/storeitem.h"
#include "store/types/storelease.h"
#include "store/types/storewrite.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <set>

namespace radishladder::membership {
namespace {
constexpr const char *kPrefix = "vms/";
constexpr std::chrono::milliseconds kLeaseDuration{12000};

//! Renewal interval while a relay notifies this VM of store failures.
constexpr std::chrono::milliseconds kRelayedRenewInterval{5000};

//! Shortest pause between a failed call and its retry.
constexpr std::chrono::milliseconds kMinRetryDelay{500};

//! Time between the starts of two calls while the store fails; also bounds the time until its
//! recovery is detected.
constexpr std::chrono::milliseconds kFirstRetryInterval{500};
constexpr std::chrono::milliseconds kMaxRetryInterval{2000};
//! Retry interval while a relay notifies this VM of the recovery of the store. Short enough for a
//! relay that fails before it does so.
constexpr std::chrono::milliseconds kRelayedRetryInterval{3000};

//! VMs of a fleet acquire their new leases within this time after the store was restored.
constexpr std::chrono::milliseconds kNewLeaseSpread{500};

//! Covers the time that a VM with an expired lease needs to acquire a new one.
constexpr std::chrono::milliseconds kLeaveGrace{6000};

//! Time after registration by which the peers have listed this VM and it has listed them: longer
//! than two poll intervals of the peers, one of them through a relay.
constexpr std::chrono::milliseconds kSettleTime{8000};

//! Returns true if the store has executed the call, successfully or not.
bool hasResult(store::StoreStatus status)
{
    return status == store::StoreStatus::Ok || status == store::StoreStatus::Missing;
}

//! "vms/DATA CENTRE/VM".
std::string keyOf(const DataCentreName &dataCentre, const VmName &vm)
{
    return LeaseMembership::prefix(dataCentre) + vm.str();
}

//! Returns "ADDRESS:PORT MBPS", the value of a member's key; the value is empty if the VM is no
//! relay.
std::string formatOffer(const RelayOffer &offer)
{
    return absl::StrCat(net::endpointText(offer.address), " ", offer.mbps);
}

std::optional<RelayOffer> parseOffer(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ' ');
    const auto address = net::parseEndpoint(parts.front());
    RelayOffer offer{.address = address.value_or(net::Endpoint())};
    if (!address || parts.size() != 2 || !absl::SimpleAtoi(parts.back(), &offer.mbps)) {
        return std::nullopt;
    }
    return offer;
}
}

LeaseMembership::LeaseMembership(store::IStore &store, net::IEventLoop &loop, const IClock &clock,
                                 telemetry::IEventLog &log, VmName self, DataCentreName dataCentre,
                                 std::optional<RelayOffer> relay)
    : store(store), loop(loop), clock(clock), log(log), self(std::move(self)),
      dataCentre(std::move(dataCentre)), relay(relay),
      random(hash64(this->self.str())
             ^ static_cast<std::uint64_t>(clock.now().time_since_epoch().count())),
      renewInterval(kRenewInterval), retryInterval(kFirstRetryInterval), memberNames{this->self}
{ }

std::string LeaseMembership::fleetPrefix()
{
    return kPrefix;
}

std::vector<net::Endpoint> LeaseMembership::relayAddresses(
    const std::vector<store::StoreItem> &items)
{
    std::vector<net::Endpoint> addresses;
    for (const store::StoreItem &item : items) {
        if (const auto offer = parseOffer(item.value)) {
            addresses.push_back(offer->address);
        }
    }
    return addresses;
}

std::string LeaseMembership::prefix(const DataCentreName &dataCentre)
{
    return kPrefix + dataCentre.str() + "/";
}

void LeaseMembership::join()
{
    this->acquireLease();
}

void LeaseMembership::leave()
{
    this->isLeaving = true;
    // The identifier of a lease of an older era may belong to another VM.
    if (this->leaseId == 0 || this->isLeaseOutdated()) {
        return;
    }
    this->store.endLease(this->leaseId,
                         [this](store::StoreStatus status, const std::string &detail) {
                             if (status != store::StoreStatus::Ok) {
                                 this->log.write(telemetry::LogEntry(telemetry::LogKind::State,
                                                                     "membership.leave_failed")
                                                     .text("detail", detail));
                             }
                         });
}

void LeaseMembership::rebuildMemberNames()
{
    std::set<VmName> names{this->self};
    for (const auto &[name, member] : this->membersByName) {
        names.insert(name);
    }
    this->memberNames.assign(names.begin(), names.end());
}

bool LeaseMembership::isSettled() const
{
    return this->joinedAt && this->clock.now() - *this->joinedAt >= kSettleTime;
}

std::optional<RelayOffer> LeaseMembership::relayOfferOf(const VmName &member) const
{
    const auto found = this->membersByName.find(member);
    return found == this->membersByName.end() ? std::nullopt : found->second.relay;
}

bool LeaseMembership::isCurrent(const Member &member) const
{
    return !member.leftAt || this->clock.now() - *member.leftAt < kLeaveGrace;
}

void LeaseMembership::onSnapshot(const std::vector<store::StoreItem> &items)
{
    this->isListed = true;
    std::set<VmName> listed;
    for (const store::StoreItem &item : items) {
        listed.insert(VmName(item.key.substr(item.key.rfind('/') + 1)));
    }
    for (auto &[name, member] : this->membersByName) {
        if (!listed.contains(name) && !member.leftAt) {
            member.leftAt = this->clock.now();
            this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "member.left")
                                .text("vm", name.str()));
        }
    }
    this->onChanges(items);
}

void LeaseMembership::onChanges(const std::vector<store::StoreItem> &items)
{
    for (const store::StoreItem &item : items) {
        this->recordMember(item);
    }
    std::erase_if(this->membersByName,
                  [this](const auto &entry) { return !this->isCurrent(entry.second); });
    this->rebuildMemberNames();
}

void LeaseMembership::recordMember(const store::StoreItem &item)
{
    const VmName name(item.key.substr(item.key.rfind('/') + 1));
    const auto [member, isNew] = this->membersByName.try_emplace(name);
    const bool hasRejoined = member->second.leftAt.has_value();
    member->second = {.relay = parseOffer(item.value)};
    if (isNew || hasRejoined) {
        this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "member.joined")
                            .text("vm", name.str())
                            .number("revision", static_cast<std::int64_t>(item.revision)));
    }
}

void LeaseMembership::onConnectionLost(const std::string &) { }

void LeaseMembership::onConnectionRestored() { }

void LeaseMembership::acquireLease()
{
    if (this->isAcquiring || this->isLeaving) {
        return;
    }
    this->isAcquiring = true;
    this->callStartedAt = this->clock.now();
    this->leaseId = 0;
    this->store.grantLease(kLeaseDuration, [this](const store::StoreLease &granted) {
        this->isAcquiring = false;
        if (granted.status != store::StoreStatus::Ok) {
            this->scheduleRetry(&LeaseMembership::acquireLease, granted.detail);
            return;
        }
        this->recordResponse();
        this->leaseId = granted.id;
        this->leaseEra = granted.era;
        this->newestEra = std::max(this->newestEra, granted.era);
        this->publishKey();
    });
}

void LeaseMembership::publishKey()
{
    if (this->isLeaving) {
        return;
    }
    if (this->isLeaseOutdated()) {
        this->acquireLease();
        return;
    }
    this->callStartedAt = this->clock.now();
    const store::StoreWrite entry{.key = keyOf(this->dataCentre, this->self),
                                  .value = this->relay ? formatOffer(*this->relay) : "",
                                  .lease = this->leaseId};
    this->store.write(entry, [this](store::StoreStatus status, const std::string &detail) {
        if (!hasResult(status)) {
            this->retry(&LeaseMembership::publishKey, detail);
        } else if (this->isLeaseOutdated()) {
            this->replaceLease();
        } else if (status == store::StoreStatus::Missing) {
            this->acquireLease();
        } else {
            this->recordResponse();
            this->joinedAt = this->joinedAt.value_or(this->clock.now());
            this->scheduleRenewal();
        }
    });
}

void LeaseMembership::renew()
{
    if (this->isLeaving) {
        return;
    }
    if (this->isLeaseOutdated()) {
        this->acquireLease();
        return;
    }
    this->callStartedAt = this->clock.now();
    this->store.renewLease(this->leaseId, [this](const store::StoreLease &renewed) {
        if (!hasResult(renewed.status)) {
            this->retry(&LeaseMembership::renew, renewed.detail);
            return;
        }
        this->newestEra = std::max(this->newestEra, renewed.era);
        if (this->isLeaseOutdated()) {
            this->replaceLease();
        } else if (renewed.status == store::StoreStatus::Missing) {
            this->acquireLease();
        } else {
            this->recordResponse();
            this->scheduleRenewal();
        }
    });
}

void LeaseMembership::retry(void (LeaseMembership::*step)(), const std::string &detail)
{
    if (this->isLeaseOutdated()) {
        // The response was late or lost in a restore, after which the store has responded to
        // another call. If it does not respond now, the call for the new lease shows it.
        this->scheduleNewLease();
        return;
    }
    this->scheduleRetry(step, detail);
}

void LeaseMembership::scheduleRetry(void (LeaseMembership::*step)(), const std::string &detail)
{
    this->recordFailure(detail);
    this->schedule(this->nextRetryDelay(), step);
}

void LeaseMembership::recordFailure(const std::string &detail)
{
    if (this->isStoreLost) {
        return;
    }
    this->isStoreLost = true;
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "store.lost")
                        .text("for", "lease")
                        .text("detail", detail));
    if (this->connectionListener != nullptr) {
        this->connectionListener->onStoreLost(detail);
    }
}

void LeaseMembership::suspectStore(const std::string &detail)
{
    if (this->joinedAt && !this->isLeaving) {
        this->recordFailure(detail);
        this->checkStore();
    }
}

void LeaseMembership::checkStore()
{
    if (this->nextStep != nullptr) {
        this->schedule(std::chrono::milliseconds(0), this->nextStep);
    }
}

void LeaseMembership::schedule(std::chrono::milliseconds delay, void (LeaseMembership::*step)())
{
    this->nextStep = step;
    const std::uint64_t generation = ++this->timerGeneration;
    this->loop.after(delay, [this, generation]() {
        // A timer that was replaced, for example after the lease was revoked, must not start a
        // second renewal loop.
        if (generation == this->timerGeneration && this->nextStep != nullptr) {
            const auto next = this->nextStep;
            this->nextStep = nullptr;
            (this->*next)();
        }
    });
}

std::chrono::milliseconds LeaseMembership::nextRetryDelay()
{
    // Load pattern: the store refuses calls at once and every VM of a fleet retries. A call that
    // timed out has already taken part of the interval, so only the rest of it is added.
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.now() - this->callStartedAt);
    const auto interval = this->hasLiveRelay ? kRelayedRetryInterval : this->retryInterval;
    this->retryInterval = std::min(this->retryInterval * 2, kMaxRetryInterval);
    return std::max(kMinRetryDelay, interval - elapsed);
}

void LeaseMembership::recordResponse()
{
    this->retryInterval = kFirstRetryInterval;
    if (!this->isStoreLost) {
        return;
    }
    this->isStoreLost = false;
    this->log.write(
        telemetry::LogEntry(telemetry::LogKind::State, "store.regained").text("for", "lease"));
    if (this->connectionListener != nullptr) {
        this->connectionListener->onStoreRestored();
    }
}

void LeaseMembership::onNewEra(std::uint64_t era)
{
    this->newestEra = std::max(this->newestEra, era);
    // A call that is in progress does the same when it ends.
    if (this->nextStep != nullptr && this->leaseId != 0 && this->isLeaseOutdated()) {
        this->scheduleNewLease();
    }
}

void LeaseMembership::replaceLease()
{
    this->recordResponse();
    this->scheduleNewLease();
}

void LeaseMembership::scheduleNewLease()
{
    // Load pattern: all VMs of a fleet lose their leases at once.
    const auto spread = static_cast<std::uint64_t>(kNewLeaseSpread.count());
    this->schedule(std::chrono::milliseconds(this->random.next() % (spread + 1)),
                   &LeaseMembership::acquireLease);
}

void LeaseMembership::scheduleRenewal()
{
    this->schedule(this->hasLiveRelay ? kRelayedRenewInterval : this->renewInterval,
                   &LeaseMembership::renew);
}
}
