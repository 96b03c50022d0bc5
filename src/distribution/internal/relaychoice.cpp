#include "distribution/relaychoice.h"

#include "global/hash.h"
#include "membership/imembership.h"
#include "membership/types/relayoffer.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
//! With fewer members than this, relays would save next to nothing.
constexpr std::size_t kLeastMembers = 6;

//! Two, so that the loss of one sends only half of its neighbours to the store for a while.
constexpr std::size_t kLeastRelays = 2;

//! Bounds what one relay sends.
constexpr std::size_t kMembersPerRelay = 16;

//! A release in a large service takes a tenth of such a link for the neighbours of one relay.
constexpr int kLeastMbps = 50;

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
        const auto offer = membership.relayOf(name);
        if (offer && offer->mbps >= kLeastMbps) {
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
}

std::vector<net::Endpoint> relaysFor(const VmName &self, const membership::IMembership &membership)
{
    std::vector<Candidate> relays = candidatesOf(membership);
    if (membership.members().size() < kLeastMembers || relays.size() < kLeastRelays) {
        return {};
    }
    sortByScore(relays, kRelaySalt);
    const std::size_t wanted = membership.members().size() / kMembersPerRelay;
    relays.resize(std::clamp(wanted, kLeastRelays, relays.size()));
    if (std::ranges::find(relays, self, &Candidate::name) != relays.end()) {
        return {};
    }
    sortByScore(relays, hash64(self.str()));
    relays.resize(kLeastRelays);
    std::vector<net::Endpoint> addresses;
    addresses.reserve(relays.size());
    for (const Candidate &relay : relays) {
        addresses.push_back(relay.offer.address);
    }
    return addresses;
}
}
