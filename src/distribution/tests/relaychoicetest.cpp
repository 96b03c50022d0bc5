#include "distribution/relaychoice.h"

#include "membership/imembership.h"
#include "membership/types/relayoffer.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <string>

using namespace radishladder;
using namespace radishladder::distribution;

namespace {
//! Members of one data centre, of which the first \a fast have links fast enough to relay changes.
class FakeMembership : public membership::IMembership
{
public:
    FakeMembership(int count, int fast) : fast(fast)
    {
        for (int i = 0; i < count; ++i) {
            this->names.emplace_back("obuda-" + std::to_string(i));
        }
    }

    const std::vector<VmName> &members() const override { return this->names; }
    std::optional<membership::RelayOffer> relayOfferOf(const VmName &member) const override
    {
        const auto number = std::stoi(member.str().substr(6));
        return membership::RelayOffer{.address = {1, static_cast<std::uint16_t>(number)},
                                      .mbps = number < this->fast ? 200 : 10};
    }
    bool isSettled() const override { return true; }

    int fast;
    std::vector<VmName> names;
};
}

Test(relaychoice, few_members_with_fast_links_watch_the_store_and_share_the_other_members)
{
    struct Row
    {
        int members;
        int fast;
        int storeWatchers;
    };
    const Row rows[] = {{1, 1, 1},   {4, 4, 4},   {5, 5, 5},    {6, 6, 2},
                        {19, 2, 2},  {19, 1, 19}, {19, 0, 19},  {19, 19, 2},
                        {75, 75, 4}, {75, 3, 3},  {232, 20, 14}};
    for (const Row &row : rows) {
        const FakeMembership membership(row.members, row.fast);
        int storeWatchers = 0;
        std::map<net::Endpoint, int> followers;
        for (const VmName &self : membership.names) {
            const auto relays = relaysFor(self, membership);
            storeWatchers += relays.empty() ? 1 : 0;
            for (const net::Endpoint &relay : relays) {
                cr_assert_lt(relay.port, row.fast);
                cr_assert(relaysFor(membership.names[relay.port], membership).empty());
            }
            if (!relays.empty()) {
                cr_assert_eq(relays.size(), 2U);
                ++followers[relays[0]];
            }
        }
        cr_assert_eq(storeWatchers, row.storeWatchers, "%d members", row.members);
        // Of two relays, one may have up to three quarters of the peers; of more relays, each may
        // have up to twice the average.
        const int maxFollowers = row.storeWatchers == 2 ? (row.members - 2) * 3 / 4 + 1
                                                        : row.members * 2 / row.storeWatchers;
        for (const auto &[relay, count] : followers) {
            cr_assert_leq(count, maxFollowers, "%d members", row.members);
        }
    }
}

Test(relaychoice, a_member_that_leaves_changes_no_other_relay)
{
    FakeMembership membership(19, 19);
    std::map<std::string, std::vector<net::Endpoint>> before;
    for (const VmName &self : membership.names) {
        before[self.str()] = relaysFor(self, membership);
    }
    const net::Endpoint departed =
        before["obuda-0"].empty() ? before["obuda-1"].front() : before["obuda-0"].front();
    membership.names.erase(membership.names.begin() + departed.port);
    for (const VmName &self : membership.names) {
        const auto after = relaysFor(self, membership);
        for (const net::Endpoint &relay : before[self.str()]) {
            const bool isStillRelay = std::ranges::find(after, relay) != after.end();
            cr_assert(relay == departed || isStillRelay || after.empty());
        }
    }
}
