#include "store/prefixpoller.h"

#include "net/manualeventloop.h"
#include "standins/memorystore.h"
#include "store/iprefixlistener.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::store;
using namespace std::chrono_literals;
using standins::MemoryStore;

namespace {
class FakeListener : public IPrefixListener
{
public:
    void onSnapshot(const std::vector<StoreItem> &items) override { this->items = items.size(); }
    void onChanges(const std::vector<StoreItem> &) override { }
    void onConnectionLost(const std::string &) override { ++this->lost; }
    void onConnectionRestored() override { ++this->restored; }

    std::size_t items = 0;
    int lost = 0;
    int restored = 0;
};
}

Test(prefixpoller, lists_all_pages_every_period_and_resumes_after_an_outage)
{
    ManualClock clock;
    net::ManualEventLoop loop(clock);
    MemoryStore store(loop);
    store.setPageSize(3);
    FakeListener listener;
    PrefixPoller poller(store, loop, listener, "vms/", 2s);
    for (int i = 0; i < 10; ++i) {
        store.put("vms/" + std::to_string(i), "{}");
    }
    poller.start();
    loop.advance(100ms);
    cr_assert_eq(listener.items, 10U);
    store.setMode(MemoryStore::Mode::Refusing);
    store.remove("vms/3");
    loop.advance(5s);
    cr_assert_eq(listener.items, 10U);
    cr_assert_eq(listener.lost, 1);
    cr_assert_eq(listener.restored, 0);
    store.setMode(MemoryStore::Mode::Serving);
    loop.advance(2500ms);
    cr_assert_eq(listener.items, 9U);
    cr_assert_eq(listener.restored, 1);
}
