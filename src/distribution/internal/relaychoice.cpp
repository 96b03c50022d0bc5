#include "distribution/relaychoice.h"

#include "global/hash.h"
#include "membership/imembership.h"
#include "membership/types/relayoffer.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
//! With fewer members than this, relays would save the store hardly any calls.
constexpr std::size_t kMinMembers = 6;

//! Smallest number of relays, and the number of relays from which each peer chooses. Two, so that
//! the failure of one relay sends only half of the peers to the store for a while.
constexpr std::size_t kMinRelays = 2;

//! Limits the traffic that one relay sends.
constexpr std::size_t kMembersPerRelay = 16;

//! A release in a large service uses a tenth of a link of this speed to send changes to the peers
//! of one relay.
constexpr int kMinMbps = 50;

//! "relay" in ASCII: the same salt on all VMs, so that all VMs choose the same relays.
constexpr std::uint64_t kRelaySalt = 0x72656c6179;

struct Candidate
{
    VmName name;
    membership::RelayOffer offer;
};

std::vector<Candidate> candidatesOf(const membership::IMembership &membership)
{
    std::vector<Candidate> candidates;
    for (const VmName &name : membership.members()) {
        const auto offer = membership.relayOfferOf(name);
        if (offer && offer->mbps >= kMinMbps) {
            candidates.push_back({name, *offer});
        }
    }
    return candidates;
}

void sortByScore(std::vector<Candidate> &candidates, std::uint64_t salt)
{
    std::ranges::sort(candidates, std::ranges::greater(), [salt](const Candidate &candidate) {
        return rendezvousScore(salt, candidate.name.str());
    });
}

//! Returns the relays of the data centre, the same on all VMs; empty if it has none.
std::vector<Candidate> chosenRelays(const membership::IMembership &membership)
{
    std::vector<Candidate> relays = candidatesOf(membership);
    if (membership.members().size() < kMinMembers || relays.size() < kMinRelays) {
        return {};
    }
    sortByScore(relays, kRelaySalt);
    const std::size_t relayCount = membership.members().size() / kMembersPerRelay;
    relays.resize(std::clamp(relayCount, kMinRelays, relays.size()));
    return relays;
}

bool contains(const std::vector<Candidate> &relays, const VmName &vm)
{
    return std::ranges::find(relays, vm, &Candidate::name) != relays.end();
}
}

std::vector<net::Endpoint> relaysFor(const VmName &self, const membership::IMembership &membership)
{
    std::vector<Candidate> relays = chosenRelays(membership);
    if (relays.empty() || contains(relays, self)) {
        return {};
    }
    // Every VM has its own order of preference, which spreads the peers over the relays.
    sortByScore(relays, hash64(self.str()));
    relays.resize(kMinRelays);
    std::vector<net::Endpoint> addresses;
    addresses.reserve(relays.size());
    for (const Candidate &relay : relays) {
        addresses.push_back(relay.offer.address);
    }
    return addresses;
}

bool isRelay(const VmName &self, const membership::IMembership &membership)
{
    return contains(chosenRelays(membership), self);
}
}
