#include "distribution/snapshotofferer.h"

#include "distribution/relayprotocol.h"
#include "distribution/types/snapshotoffer.h"
#include "global/iclock.h"
#include "membership/imembership.h"
#include "membership/types/relayoffer.h"
#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

namespace radishladder::distribution {
namespace {
//! Offers sent in each tick, which bounds the traffic in a large data centre.
constexpr int kOffersPerTick = 4;

constexpr std::chrono::milliseconds kOfferTimeout{250};

//! A member that needs no offer gets the next one after this time, since it may restart.
constexpr std::chrono::milliseconds kPause{2000};
}

SnapshotOfferer::SnapshotOfferer(const IClock &clock, ConnectionFactory connect, VmName self)
    : clock(clock), connect(std::move(connect)), self(std::move(self))
{ }

SnapshotOfferer::~SnapshotOfferer() = default;

void SnapshotOfferer::tick(std::optional<std::chrono::milliseconds> dataAge, std::uint64_t dataEra)
{
    const auto now = this->clock.now();
    std::erase_if(this->pendingOffers,
                  [now](const auto &entry) { return now - entry.second.sentAt >= kOfferTimeout; });
    std::erase_if(this->pausedUntil, [now](const auto &entry) { return now >= entry.second; });
    if (this->membership == nullptr || !dataAge) {
        return;
    }
    const auto own = this->membership->relayOfferOf(this->self);
    for (int i = 0; own && i < kOffersPerTick; ++i) {
        this->offerToNextMember({.vm = own->address, .age = *dataAge, .era = dataEra});
    }
}

void SnapshotOfferer::offerToNextMember(const SnapshotOffer &offer)
{
    const std::vector<VmName> &members = this->membership->members();
    for (std::size_t i = 0; i < members.size(); ++i) {
        const VmName &member = members[this->nextMember++ % members.size()];
        const auto relay = this->membership->relayOfferOf(member);
        if (relay && member != this->self && !this->isPaused(member)
            && !this->pendingOffers.contains(member)) {
            this->send(member, relay->address, offer);
            return;
        }
    }
}

void SnapshotOfferer::send(const VmName &member, const net::Endpoint &address,
                           const SnapshotOffer &offer)
{
    const net::HttpRequest request{.path = std::string(kOfferPath),
                                   .query = offerQuery(offer),
                                   .timeout = kOfferTimeout,
                                   .maxDuration = kOfferTimeout};
    PendingOffer &pending = this->pendingOffers[member];
    pending = {.connection = this->connect(address), .sentAt = this->clock.now()};
    pending.connection->send(request, [this, member](const net::HttpResult &result) {
        if (result.status == kNotNeeded) {
            this->pausedUntil[member] = this->clock.now() + kPause;
        }
    });
}

bool SnapshotOfferer::isPaused(const VmName &member) const
{
    const auto paused = this->pausedUntil.find(member);
    return paused != this->pausedUntil.end() && this->clock.now() < paused->second;
}
}
