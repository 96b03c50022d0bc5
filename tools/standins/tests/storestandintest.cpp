#include "standins/storestandin.h"
#include "net/asioeventloop.h"
#include "net/curlhttpclient.h"
#include "store/etcdstore.h"
#include "store/types/storedvalue.h"

#include <criterion/criterion.h>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::store;
using namespace std::chrono_literals;

namespace {
constexpr std::uint32_t kNetwork = 0x7f330000;
constexpr std::uint32_t kLoopbackSource = 0x7f000001;

//! Each test runs in a process of its own; its address differs from those of its neighbours.
net::Endpoint ownEndpoint(std::uint16_t port)
{
    return {kNetwork | (static_cast<std::uint32_t>(getpid()) & 0xffff), port};
}

struct Fixture
{
    Fixture() { cr_assert(this->standin.start()); }

    //! Waits for one write.
    Reason write(const std::string &key, std::int64_t expected, const std::string &value,
                 std::optional<std::int64_t> lease = std::nullopt)
    {
        Reason outcome;
        this->store.compareAndSwap(key, expected, value, lease, [&](auto revision, Reason reason) {
            this->revision = revision.value_or(0);
            outcome = std::move(reason);
            this->loop.stop();
        });
        this->loop.run();
        return outcome;
    }

    Reason read(const std::string &key)
    {
        Reason outcome;
        this->store.get(key, [&](auto value, std::int64_t, Reason reason) {
            this->value = value;
            outcome = std::move(reason);
            this->loop.stop();
        });
        this->loop.run();
        return outcome;
    }

    std::vector<StoredValue> watchOnce(std::int64_t from)
    {
        std::vector<StoredValue> seen;
        this->store.watch("/a", from, [&](const auto &events, Reason reason) {
            seen.insert(seen.end(), events.begin(), events.end());
            if (reason.code != ResultCode::Ok) {
                this->watchEnd = std::move(reason);
                this->loop.stop();
            }
        });
        this->loop.run();
        return seen;
    }

    net::Endpoint local = ownEndpoint(2379);
    standins::StoreStandin standin{this->local};
    net::AsioEventLoop loop;
    net::CurlHttpClient client{this->loop};
    EtcdStore store{this->client, {this->local}};
    std::int64_t revision = 0;
    std::optional<StoredValue> value;
    Reason watchEnd;
};
}

Test(storestandin, writes_reads_and_conflicts)
{
    Fixture f;
    cr_assert(f.read("/a/1").code == ResultCode::StoreKeyMissing);
    cr_assert(f.write("/a/1", 0, "one").code == ResultCode::Ok);
    const std::int64_t first = f.revision;
    const Reason second = f.write("/a/1", 0, "two");
    cr_assert(second.code == ResultCode::StoreConflict, "%d %s", static_cast<int>(second.code),
              second.detail.c_str());
    cr_assert(f.write("/a/1", first, "two").code == ResultCode::Ok);
    cr_assert(f.read("/a/1").code == ResultCode::Ok);
    cr_assert(f.value && f.value->value == "two" && f.value->revision == f.revision);
}

Test(storestandin, removal_needs_the_expected_revision)
{
    Fixture f;
    f.write("/a/1", 0, "one");
    std::vector<ResultCode> codes;
    for (const std::int64_t expected : {f.revision + 7, f.revision}) {
        f.store.remove("/a/1", expected, [&](auto, const Reason &reason) {
            codes.push_back(reason.code);
            f.loop.stop();
        });
        f.loop.run();
    }
    cr_assert(codes == (std::vector{ResultCode::StoreConflict, ResultCode::Ok}));
    cr_assert(f.read("/a/1").code == ResultCode::StoreKeyMissing);
}

Test(storestandin, writes_together_share_a_revision_or_none_is_made)
{
    Fixture f;
    std::vector<ResultCode> codes;
    for (const std::int64_t expected : {7, 0}) {
        f.store.writeTogether("/a/1", expected, {{"/a/1", "one"}, {"/b/1", "two"}},
                              [&](auto, const Reason &reason) {
                                  codes.push_back(reason.code);
                                  f.loop.stop();
                              });
        f.loop.run();
    }
    cr_assert(codes == (std::vector{ResultCode::StoreConflict, ResultCode::Ok}));
    f.read("/a/1");
    const std::int64_t first = f.value->revision;
    f.read("/b/1");
    cr_assert(f.value && f.value->value == "two" && f.value->revision == first);
}

Test(storestandin, a_lost_answer_is_neither_success_nor_conflict)
{
    Fixture f;
    // The read leaves a connection behind; a write repeated over it would report a conflict with
    // itself.
    f.read("/a/1");
    f.standin.loseNextAnswer();
    const Reason reason = f.write("/a/1", 0, "one");
    cr_assert(reason.code == ResultCode::StoreAnswerLost, "%s",
              std::string(resultCodeName(reason.code)).c_str());
    cr_assert(f.read("/a/1").code == ResultCode::Ok);
    cr_assert(f.value && f.value->value == "one");
}

Test(storestandin, a_slow_write_times_out_and_may_have_taken_effect)
{
    Fixture f;
    f.standin.setDelay(60s);
    cr_assert(f.write("/a/1", 0, "one").code == ResultCode::StoreTimeout);
    f.standin.setDelay(0ms);
    cr_assert(f.read("/a/1").code == ResultCode::Ok);
}

Test(storestandin, down_and_refused_callers_get_no_answer)
{
    Fixture f;
    f.standin.setDown(true);
    cr_assert(f.read("/a/1").code == ResultCode::StoreUnreachable);
    f.standin.setDown(false);
    f.standin.refuseFrom(kLoopbackSource);
    cr_assert(f.read("/a/1").code == ResultCode::StoreUnreachable);
    f.standin.acceptFrom(kLoopbackSource);
    cr_assert(f.read("/a/1").code == ResultCode::StoreKeyMissing);
}

Test(storestandin, the_next_gateway_answers_when_the_first_is_gone)
{
    Fixture f;
    EtcdStore store(f.client, {ownEndpoint(2399), f.local});
    ResultCode written = ResultCode::StoreUnreachable;
    store.compareAndSwap("/a/1", 0, "one", std::nullopt, [&](auto, const Reason &reason) {
        written = reason.code;
        f.loop.stop();
    });
    f.loop.run();
    cr_assert(written == ResultCode::Ok);
}

Test(storestandin, watch_waits_as_one_call_and_reports_removals)
{
    Fixture f;
    std::uint64_t callsWhileWaiting = 0;
    f.loop.after(200ms, [&] {
        callsWhileWaiting = f.standin.calls();
        f.standin.put("/b/other", "x");
        f.standin.put("/a/1", "one");
    });
    const auto events = f.watchOnce(1);
    cr_assert_eq(callsWhileWaiting, 1);
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].value, std::string("one"));
    f.store.remove("/a/1", events[0].revision, [](auto, const Reason &) {});
    const auto removals = f.watchOnce(events[0].revision + 1);
    cr_assert(removals.size() == 1 && removals[0].removed);
}

Test(storestandin, compacted_watch_is_told)
{
    Fixture f;
    f.standin.put("/a/1", "one");
    f.standin.compact(f.standin.revision());
    cr_assert(f.watchOnce(1).empty());
    cr_assert(f.watchEnd.code == ResultCode::StoreWatchCompacted);
}

Test(storestandin, a_lapsed_lease_removes_its_key_and_cannot_be_kept)
{
    Fixture f;
    std::optional<IConfigStore::LeaseId> lease;
    f.store.grantLease(30s, [&](auto granted, const Reason &) {
        lease = granted;
        f.loop.stop();
    });
    f.loop.run();
    cr_assert(lease.has_value());
    cr_assert(f.write("/a/holder", 0, "vm-1", lease).code == ResultCode::Ok);
    f.standin.lapseLeases();
    cr_assert(f.read("/a/holder").code == ResultCode::StoreKeyMissing);
    ResultCode kept = ResultCode::Ok;
    f.store.keepLeaseAlive(*lease, [&](auto, const Reason &reason) {
        kept = reason.code;
        f.loop.stop();
    });
    f.loop.run();
    cr_assert(kept == ResultCode::StoreLeaseLapsed);
}

Test(storestandin, stale_reads_show_the_past)
{
    Fixture f;
    f.write("/a/1", 0, "old");
    const std::int64_t past = f.revision;
    f.write("/a/1", past, "new");
    f.standin.serveStale(past);
    f.read("/a/1");
    cr_assert(f.value && f.value->value == "old" && f.value->revision == past);
    f.standin.serveCurrent();
    f.read("/a/1");
    cr_assert(f.value && f.value->value == "new");
}
