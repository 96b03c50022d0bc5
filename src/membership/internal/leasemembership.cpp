#include "membership/leasemembership.h"

#include "global/iclock.h"
#include "net/ieventloop.h"
#include "store/icontactlistener.h"
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
constexpr std::chrono::milliseconds kLeaseTime{12000};
//! Also bounds how long trouble of the store stays unnoticed.
constexpr std::chrono::milliseconds kRenewEvery{2000};

//! The same while a neighbour tells at once.
constexpr std::chrono::milliseconds kRelayedRenewEvery{5000};
constexpr std::chrono::milliseconds kRetryAfter{500};

//! Between the beginnings of two calls; also bounds how long the store's return stays unnoticed.
constexpr std::chrono::milliseconds kFirstInterval{500};
constexpr std::chrono::milliseconds kLongestInterval{2000};
constexpr std::chrono::milliseconds kRelayedInterval{6000};

//! Covers the time in which a VM with a lapsed lease takes a new one.
constexpr std::chrono::milliseconds kLeaveGrace{6000};

//! Longer than two listings of the others are apart, one of them by way of a relay.
constexpr std::chrono::milliseconds kSettleTime{8000};

//! "vms/DATA CENTRE/VM".
std::string keyOf(const DataCentreName &dataCentre, const VmName &vm)
{
    return LeaseMembership::prefix(dataCentre) + vm.str();
}

//! "ADDRESS:PORT MBPS"; empty if the VM passes nothing on.
std::string textOf(const RelayOffer &offer)
{
    return absl::StrCat(net::endpointText(offer.address), " ", offer.mbps);
}

std::optional<RelayOffer> offerOf(const std::string &text)
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
      retryInterval(kFirstInterval), current{this->self}
{ }

std::string LeaseMembership::prefix(const DataCentreName &dataCentre)
{
    return kPrefix + dataCentre.str() + "/";
}

void LeaseMembership::join()
{
    this->acquire();
}

void LeaseMembership::leave()
{
    this->leaving = true;
    if (this->lease == 0) {
        return;
    }
    this->store.endLease(this->lease, [this](store::StoreStatus status, const std::string &detail) {
        if (status != store::StoreStatus::Ok) {
            this->log.write(
                telemetry::LogEntry(telemetry::LogKind::State, "membership.leave_failed")
                    .text("detail", detail));
        }
    });
}

void LeaseMembership::rebuild()
{
    std::set<VmName> names{this->self};
    for (const auto &[name, member] : this->known) {
        names.insert(name);
    }
    this->current.assign(names.begin(), names.end());
}

bool LeaseMembership::isSettled() const
{
    return this->joinedAt && this->clock.now() - *this->joinedAt >= kSettleTime;
}

std::optional<RelayOffer> LeaseMembership::relayOf(const VmName &member) const
{
    const auto entry = this->known.find(member);
    return entry == this->known.end() ? std::nullopt : entry->second.relay;
}

bool LeaseMembership::counts(const Member &member) const
{
    return !member.leftAt || this->clock.now() - *member.leftAt < kLeaveGrace;
}

void LeaseMembership::onSnapshot(const std::vector<store::StoreItem> &items)
{
    std::set<VmName> listed;
    for (const store::StoreItem &item : items) {
        listed.insert(VmName(item.key.substr(item.key.rfind('/') + 1)));
    }
    for (auto &[name, member] : this->known) {
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
        this->note(item);
    }
    std::erase_if(this->known, [this](const auto &entry) { return !this->counts(entry.second); });
    this->rebuild();
}

void LeaseMembership::note(const store::StoreItem &item)
{
    const VmName name(item.key.substr(item.key.rfind('/') + 1));
    const auto [member, isNew] = this->known.try_emplace(name);
    const bool hasReturned = member->second.leftAt.has_value();
    member->second = {.relay = offerOf(item.value)};
    if (isNew || hasReturned) {
        this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "member.joined")
                            .text("vm", name.str())
                            .number("revision", static_cast<std::int64_t>(item.revision)));
    }
}

void LeaseMembership::onContactLost(const std::string &) { }

void LeaseMembership::onContactRegained() { }

void LeaseMembership::acquire()
{
    if (this->acquiring || this->leaving) {
        return;
    }
    this->acquiring = true;
    this->calledAt = this->clock.now();
    this->lease = 0;
    this->store.grantLease(kLeaseTime, [this](const store::StoreLease &granted) {
        this->acquiring = false;
        if (granted.status != store::StoreStatus::Ok) {
            this->retry(&LeaseMembership::acquire, granted.detail);
            return;
        }
        this->noteAnswer();
        this->lease = granted.id;
        this->publish();
    });
}

void LeaseMembership::publish()
{
    if (this->leaving) {
        return;
    }
    this->calledAt = this->clock.now();
    const store::StoreWrite own{.key = keyOf(this->dataCentre, this->self),
                                .value = this->relay ? textOf(*this->relay) : "",
                                .lease = this->lease};
    this->store.write(own, [this](store::StoreStatus status, const std::string &detail) {
        if (status == store::StoreStatus::Missing) {
            this->acquire();
        } else if (status != store::StoreStatus::Ok) {
            this->retry(&LeaseMembership::publish, detail);
        } else {
            this->noteAnswer();
            this->joinedAt = this->joinedAt.value_or(this->clock.now());
            this->keepLater();
        }
    });
}

void LeaseMembership::keep()
{
    if (this->leaving) {
        return;
    }
    this->calledAt = this->clock.now();
    this->store.renewLease(this->lease, [this](const store::StoreLease &renewed) {
        if (renewed.status == store::StoreStatus::Missing) {
            this->acquire();
        } else if (renewed.status != store::StoreStatus::Ok) {
            this->retry(&LeaseMembership::keep, renewed.detail);
        } else {
            this->noteAnswer();
            this->keepLater();
        }
    });
}

void LeaseMembership::retry(void (LeaseMembership::*step)(), const std::string &detail)
{
    this->noteTrouble(detail);
    this->later(this->nextRetry(), step);
}

void LeaseMembership::noteTrouble(const std::string &detail)
{
    if (this->inTrouble) {
        return;
    }
    this->inTrouble = true;
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "store.lost")
                        .text("for", "lease")
                        .text("detail", detail));
    if (this->contactListener != nullptr) {
        this->contactListener->onStoreTrouble(detail);
    }
}

void LeaseMembership::suspectStore(const std::string &detail)
{
    if (this->joinedAt && !this->leaving) {
        this->noteTrouble(detail);
        this->check();
    }
}

void LeaseMembership::check()
{
    if (this->nextStep != nullptr) {
        this->later(std::chrono::milliseconds(0), this->nextStep);
    }
}

void LeaseMembership::later(std::chrono::milliseconds delay, void (LeaseMembership::*step)())
{
    this->nextStep = step;
    const std::uint64_t own = ++this->timer;
    this->loop.after(delay, [this, own]() {
        // A timer that was replaced, as by a revoked lease, must not start a second loop.
        if (own == this->timer && this->nextStep != nullptr) {
            const auto next = this->nextStep;
            this->nextStep = nullptr;
            (this->*next)();
        }
    });
}

std::chrono::milliseconds LeaseMembership::nextRetry()
{
    // Load pattern: every VM of a fleet calls a store that refuses at once. A store that is silent
    // has used the time up already.
    const auto taken =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->calledAt);
    const auto interval = this->hasLiveRelay ? kRelayedInterval : this->retryInterval;
    this->retryInterval = std::min(this->retryInterval * 2, kLongestInterval);
    return std::max(kRetryAfter, interval - taken);
}

void LeaseMembership::noteAnswer()
{
    this->retryInterval = kFirstInterval;
    if (!this->inTrouble) {
        return;
    }
    this->inTrouble = false;
    this->log.write(
        telemetry::LogEntry(telemetry::LogKind::State, "store.regained").text("for", "lease"));
    if (this->contactListener != nullptr) {
        this->contactListener->onStoreReturned();
    }
}

void LeaseMembership::keepLater()
{
    this->later(this->hasLiveRelay ? kRelayedRenewEvery : kRenewEvery, &LeaseMembership::keep);
}
}
