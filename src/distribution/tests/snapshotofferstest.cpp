#include "distribution/relaychoice.h"
#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/seedclient.h"
#include "distribution/snapshotofferer.h"
#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotoffer.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "restart.h"
#include "scriptedconnection.h"
#include "testdatacentre.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
//! Connection that records the path and query of each request and never responds.
class RecordingConnection : public net::IHttpConnection
{
public:
    RecordingConnection(std::vector<std::string> &requests, std::string vm)
        : requests(requests), vm(std::move(vm))
    { }

    void send(const net::HttpRequest &request, Handler) override
    {
        this->requests.push_back(this->vm + request.path);
    }

private:
    std::vector<std::string> &requests;
    std::string vm;
};

//! Cuts the links of all VMs without any of them having noticed yet.
void cutLinks(TestDataCentre &dataCentre)
{
    for (auto &vm : dataCentre.vms) {
        vm->link.isCut = true;
    }
}

int offerStatus(TestDataCentre::Vm &vm, const std::string &query)
{
    int status = 0;
    vm.server.handle({.path = std::string(kOfferPath), .query = query},
                     [&status](const net::HttpResponse &response) { status = response.status; });
    return status;
}
}

Test(snapshotoffers, a_vm_in_a_data_centre_that_is_cut_off_starts_before_its_peers_have_lost_leases)
{
    // Two thirds of the VMs, the seeds and relays among them, lose power half a second after the
    // data centre was cut off.
    for (const int count : {12, 34, 60}) {
        TestDataCentre dataCentre(count);
        dataCentre.seedCount = 3;
        dataCentre.store.put("up/a", "here");
        dataCentre.loop.advance(4s);
        cutLinks(dataCentre);
        dataCentre.loop.advance(500ms);
        std::set<std::size_t> restarted{0, 1, 2};
        for (std::size_t i = 0; i < dataCentre.vms.size(); ++i) {
            if (i % 3 != 0 || relaysFor(dataCentre.names[i], dataCentre).empty()) {
                restarted.insert(i);
            }
        }
        // All lose power before the first one starts again, so none gets a listing of a relay.
        for (const std::size_t index : restarted) {
            dataCentre.vms[index]->isPaused = true;
        }
        for (const std::size_t index : restarted) {
            restart(dataCentre, index, true);
        }
        dataCentre.loop.advance(2500ms);
        for (const auto &vm : dataCentre.vms) {
            cr_assert(vm->follower.isSynchronized(), "%d VMs", count);
            cr_assert_eq(vm->values.count("up/a"), 1U, "%d VMs", count);
        }
    }
}

Test(snapshotoffers, no_offers_are_sent_while_the_store_or_a_relay_responds)
{
    TestDataCentre dataCentre(20);
    dataCentre.store.put("up/a", "here");
    dataCentre.loop.advance(20s);
    cr_assert_eq(dataCentre.offers, 0U);
}

Test(snapshotoffers, traffic_is_bounded_in_a_large_data_centre)
{
    constexpr std::uint64_t kOffersPerSecond = 16;
    TestDataCentre dataCentre(60);
    dataCentre.loop.advance(4s);
    cutLinks(dataCentre);
    dataCentre.loop.advance(2s);
    const std::uint64_t before = dataCentre.offers;
    dataCentre.loop.advance(10s);
    cr_assert_gt(dataCentre.offers, before);
    cr_assert_leq(dataCentre.offers - before, 60U * 10 * kOffersPerSecond);
}

Test(snapshotoffers, only_a_vm_that_lacks_snapshots_needs_an_offer)
{
    TestDataCentre dataCentre(8);
    dataCentre.loop.advance(4s);
    const std::string query = offerQuery({.vm = {1, 3}, .age = 2s});
    cr_assert_eq(offerStatus(*dataCentre.vms[5], query), kNotNeeded);
    cutLinks(dataCentre);
    for (auto &vm : dataCentre.vms) {
        vm->cache.recordStoreLost();
    }
    TestDataCentre::Vm &vm = restart(dataCentre, 5, true);
    dataCentre.loop.advance(50ms);
    cr_assert_eq(offerStatus(vm, query), 200);
}

Test(snapshotoffers, malformed_offers_are_rejected)
{
    TestDataCentre dataCentre(8);
    const char *const rows[] = {"",
                                "address=10.0.0.1%3A80",
                                "address=10.0.0.1%3A80&age_ms=",
                                "address=10.0.0.1%3A80&age_ms=-1",
                                "address=10.0.0.1%3A80&age_ms=x",
                                "address=10.0.0.1%3A0&age_ms=1",
                                "address=10.0.0.1&age_ms=1",
                                "address=x%3A80&age_ms=1",
                                "age_ms=1"};
    for (const char *query : rows) {
        cr_assert_eq(offerStatus(restart(dataCentre, 5, true), query), 400, "%s", query);
    }
}

Test(snapshotoffers, offers_round_trip)
{
    cr_assert(rc::check([](std::uint32_t address, std::uint16_t port, std::uint32_t ageMs) {
        const SnapshotOffer offer{.vm = {address, std::max<std::uint16_t>(port, 1)},
                                  .age = std::chrono::milliseconds(ageMs)};
        const auto parsed = parseOfferQuery(offerQuery(offer));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed->vm == offer.vm);
        RC_ASSERT(parsed->age == offer.age);
    }));
}

Test(snapshotoffers, snapshots_are_requested_from_the_vms_with_the_newest_data)
{
    struct Row
    {
        const char *name;
        std::vector<SnapshotOffer> offers;
        std::vector<std::string> requests;
    };
    const net::Endpoint a{1, 1};
    const net::Endpoint b{1, 2};
    const net::Endpoint c{1, 3};
    const Row rows[] = {
        {"none", {}, {}},
        {"one", {{a, 2s}}, {"1/listing"}},
        {"the same VM twice", {{a, 2s}, {a, 3s}}, {"1/listing"}},
        {"the two newest of three", {{a, 3s}, {b, 2s}, {c, 2500ms}}, {"2/listing", "3/listing"}},
        {"one that was cut off earlier comes first", {{a, 30s}, {b, 2s}}, {"2/listing"}},
        {"one that was cut off earlier comes last", {{b, 2s}, {a, 30s}}, {"2/listing"}},
    };
    for (const Row &row : rows) {
        ManualClock clock;
        std::vector<std::string> requests;
        SeedClient client(clock,
                          [&requests](const net::Endpoint &vm) {
                              return std::make_unique<RecordingConnection>(requests,
                                                                           std::to_string(vm.port));
                          },
                          {});
        client.requestListing("up/", [](const net::Endpoint &, const RelayResponse &) {});
        for (const SnapshotOffer &offer : row.offers) {
            client.addOffer(offer);
        }
        client.tick();
        cr_assert(requests == row.requests, "%s", row.name);
    }
}

Test(snapshotoffers, a_vm_that_does_not_send_its_snapshots_makes_room_for_others)
{
    ManualClock clock;
    std::vector<std::uint16_t> requested;
    SeedClient client(clock,
                      [&requested](const net::Endpoint &vm) {
                          requested.push_back(vm.port);
                          return std::make_unique<ScriptedConnection>(
                              vm.port == 3 ? 200 : 503,
                              relayText({.outcome = RelayOutcome::Changes}));
                      },
                      {});
    int received = 0;
    client.requestListing(
        "up/", [&received](const net::Endpoint &, const RelayResponse &) { ++received; });
    // The VMs with the newest data fail after their offers; the third one repeats its offer.
    const std::vector<std::uint16_t> rounds[] = {{1, 2, 3}, {3}};
    for (const auto &ports : rounds) {
        for (const std::uint16_t port : ports) {
            client.addOffer({.vm = {1, port}, .age = port * 1ms});
        }
        clock.advance(250ms);
        client.tick();
    }
    cr_assert_eq(received, 1);
    cr_assert(requested == (std::vector<std::uint16_t>{1, 2, 3}));
}

Test(snapshotoffers, a_vm_that_resumes_after_a_pause_offers_data_of_its_true_age)
{
    TestDataCentre dataCentre(8);
    dataCentre.loop.advance(4s);
    dataCentre.clock.suspend(20s);
    const auto age = dataCentre.vms[0]->cache.dataAge(dataCentre.clock.timeSinceBoot());
    cr_assert(age.has_value());
    cr_assert_geq(age->count(), 20000);
}
