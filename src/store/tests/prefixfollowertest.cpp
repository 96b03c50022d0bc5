#include "store/prefixfollower.h"

#include "net/manualeventloop.h"
#include "standins/memorystore.h"
#include "store/iprefixlistener.h"

#include <criterion/criterion.h>
#include <map>

using namespace radishladder;
using namespace radishladder::store;
using namespace std::chrono_literals;
using standins::MemoryStore;

namespace {
class FakeListener : public IPrefixListener
{
public:
    void onSnapshot(const std::vector<StoreItem> &items) override
    {
        ++this->snapshots;
        this->values.clear();
        this->onChanges(items);
    }
    void onChanges(const std::vector<StoreItem> &items) override
    {
        for (const StoreItem &item : items) {
            if (item.isRemoval) {
                this->values.erase(item.key);
            } else {
                this->values[item.key] = item.value;
            }
        }
    }
    void onUpToDate(std::chrono::steady_clock::time_point) override { ++this->confirmations; }
    void onConnectionLost(const std::string &) override { ++this->lost; }
    void onConnectionRestored() override { ++this->restored; }

    std::map<std::string, std::string> values;
    int snapshots = 0;
    int confirmations = 0;
    int lost = 0;
    int restored = 0;
};

struct Fixture
{
    ManualClock clock;
    net::ManualEventLoop loop{this->clock};
    MemoryStore store{this->loop};
    FakeListener listener;
    PrefixFollower follower{this->store, this->loop, this->listener, "up/", FollowerPacing{}};

    void start()
    {
        this->store.put("up/a", "1");
        this->follower.start();
        this->loop.advance(500ms);
    }
};
}

Test(prefixfollower, delivers_a_snapshot_of_many_pages_and_later_changes)
{
    Fixture f;
    f.store.setPageSize(7);
    for (int i = 0; i < 30; ++i) {
        f.store.put("up/k" + std::to_string(i), "v");
    }
    f.store.put("other/x", "v");
    f.start();
    cr_assert(f.follower.isSynchronized());
    cr_assert_eq(f.listener.values.size(), 31U);
    f.store.put("up/a", "2");
    f.store.remove("up/k3");
    f.loop.advance(400ms);
    cr_assert(f.listener.values["up/a"] == "2");
    cr_assert_not(f.listener.values.contains("up/k3"));
}

Test(prefixfollower, changes_in_quick_succession_cost_few_calls)
{
    Fixture f;
    f.start();
    const std::uint64_t before = f.store.calls();
    for (int i = 0; i < 300; ++i) {
        f.store.put("up/a", std::to_string(i));
        f.loop.advance(10ms);
    }
    f.loop.advance(1s);
    cr_assert(f.listener.values["up/a"] == "299");
    cr_assert_leq(f.store.calls() - before, 13U);
}

Test(prefixfollower, newest_values_arrive_after_every_store_fault)
{
    struct Row
    {
        const char *name;
        void (*fault)(MemoryStore &);
        void (*recovery)(MemoryStore &);
        std::chrono::milliseconds recoveryTime;
    };
    const auto none = [](MemoryStore &) {};
    const auto serve = [](MemoryStore &s) { s.setMode(MemoryStore::Mode::Serving); };
    const Row rows[] = {
        {"refusing", [](MemoryStore &s) { s.setMode(MemoryStore::Mode::Refusing); }, serve, 1200ms},
        {"history compacted", [](MemoryStore &s) { s.compact(); }, none, 1200ms},
        {"refusing and history compacted",
         [](MemoryStore &s) {
             s.setMode(MemoryStore::Mode::Refusing);
             s.compact();
         },
         serve, 1600ms},
    };
    for (const Row &row : rows) {
        Fixture f;
        f.start();
        row.fault(f.store);
        f.store.put("up/a", "during");
        f.store.put("up/b", "new");
        f.loop.advance(5s);
        row.recovery(f.store);
        f.loop.advance(row.recoveryTime);
        cr_assert(f.listener.values["up/a"] == "during", "%s", row.name);
        cr_assert(f.listener.values["up/b"] == "new", "%s", row.name);
        cr_assert_eq(f.listener.lost, f.listener.restored, "%s", row.name);
    }
}

Test(prefixfollower, every_response_confirms_that_the_listener_is_up_to_date_and_no_failure_does)
{
    Fixture f;
    f.start();
    cr_assert_eq(f.listener.confirmations, 1);
    f.store.put("up/a", "2");
    f.loop.advance(1s);
    cr_assert_eq(f.listener.confirmations, 2);
    // Watches that end without a change.
    f.loop.advance(41s);
    cr_assert_eq(f.listener.confirmations, 4);
    f.store.setMode(MemoryStore::Mode::Refusing);
    f.loop.advance(10s);
    cr_assert_eq(f.listener.confirmations, 4);
}

Test(prefixfollower, makes_no_calls_between_loss_and_restoration_of_the_store)
{
    Fixture f;
    f.start();
    f.store.setMode(MemoryStore::Mode::Refusing);
    f.store.put("up/a", "during");
    f.follower.onStoreLost("renewal refused");
    f.loop.advance(2s);
    const std::uint64_t before = f.store.calls();
    f.loop.advance(20s);
    cr_assert_eq(f.store.calls(), before);
    f.store.setMode(MemoryStore::Mode::Serving);
    f.follower.onStoreRestored();
    f.loop.advance(100ms);
    cr_assert(f.listener.values["up/a"] == "during");
    cr_assert_eq(f.listener.lost, f.listener.restored);
}

Test(prefixfollower, a_watch_lost_in_a_short_outage_ends_within_its_wait)
{
    // The store does not respond for a second, and no lease renewal fails in that time; the
    // follower detects the lost change only when its watch ends.
    ManualClock clock;
    net::ManualEventLoop loop(clock);
    MemoryStore store(loop);
    FakeListener listener;
    PrefixFollower follower(store, loop, listener, "up/", {.watchWait = 5s});
    follower.start();
    loop.advance(1s);
    store.setMode(MemoryStore::Mode::Silent);
    store.put("up/a", "draining");
    loop.advance(1s);
    store.setMode(MemoryStore::Mode::Serving);
    loop.advance(5s);
    cr_assert(listener.values["up/a"] == "draining");
}

Test(prefixfollower, a_check_finds_changes_that_the_watch_does_not_deliver)
{
    // Guards against resets of flows on an upstream whose entry is stuck in a hanging watch.
    Fixture f;
    f.start();
    f.store.setMode(MemoryStore::Mode::Silent);
    f.store.put("up/a", "2");
    f.store.setMode(MemoryStore::Mode::Serving);
    f.loop.advance(100ms);
    cr_assert(f.listener.values["up/a"] == "1");
    const std::uint64_t before = f.store.calls();
    f.follower.confirm();
    f.loop.advance(10ms);
    cr_assert(f.listener.values["up/a"] == "2");
    // Requests in quick succession share one further call.
    for (int i = 0; i < 20; ++i) {
        f.follower.confirm();
        f.loop.advance(10ms);
    }
    f.loop.advance(1s);
    cr_assert_eq(f.store.calls() - before, 2U);
    // The watch continues where it was and delivers no older state again.
    f.store.put("up/a", "3");
    f.follower.confirm();
    f.loop.advance(25s);
    cr_assert(f.listener.values["up/a"] == "3");
    f.store.put("up/b", "4");
    f.loop.advance(25s);
    cr_assert(f.listener.values["up/b"] == "4");
}

Test(prefixfollower, a_check_without_a_response_ends_a_watch_that_may_hang_too)
{
    Fixture f;
    f.start();
    f.store.setMode(MemoryStore::Mode::Silent);
    f.store.put("up/a", "2");
    f.follower.confirm();
    f.loop.advance(300ms);
    f.store.setMode(MemoryStore::Mode::Serving);
    f.loop.advance(1400ms);
    cr_assert(f.listener.values["up/a"] == "2");
    cr_assert_eq(f.listener.lost, 1);
    cr_assert_eq(f.listener.restored, 1);
}
