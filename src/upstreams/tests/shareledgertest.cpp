#include "upstreams/internal/shareledger.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::upstreams;
using namespace std::chrono_literals;

namespace {
constexpr auto kListLag = 5s;
constexpr auto kLongestRequest = 10s;
constexpr auto kRest = 2 * kListLag + kLongestRequest;
constexpr ShareLedger::TimePoint kStart{1h};

VmList listOf(const std::vector<int> &numbers)
{
    VmList list;
    for (const int number : numbers) {
        list.push_back({VmName("vm-" + std::to_string(number)),
                        DataCentreName(number % 2 == 0 ? "obuda" : "kobanya")});
    }
    return list;
}

VmList drawList()
{
    const int present = *rc::gen::inRange(0, 1 << 9);
    std::vector<int> numbers;
    for (int number = 0; number < 9; ++number) {
        if ((present >> number & 1) != 0) {
            numbers.push_back(number);
        }
    }
    return listOf(numbers);
}
}

Test(shareledger, same_list_shares_the_whole_exactly)
{
    cr_assert(rc::check([] {
        const VmList list = drawList();
        const int total = *rc::gen::inRange(0, 2100);
        const DataCentreName dataCentre(*rc::gen::element<std::string>("obuda", "kobanya", ""));
        int sum = 0;
        for (const ListedVm &vm : list) {
            ShareLedger ledger(vm.name, kRest);
            ledger.setList(list, kStart);
            sum += ledger.share("h1", dataCentre, total, kStart + kRest);
        }
        RC_ASSERT(sum == (list.empty() ? 0 : total));
    }));
}

//! Nine VMs that learn the platform's lists late and unevenly; a request that was admitted runs up
//! to the longest time.
Test(shareledger, late_and_uneven_lists_never_exceed_the_whole)
{
    cr_assert(rc::check([] {
        const int total = *rc::gen::element(1, 3, 20);
        std::vector<VmList> lists;
        std::vector<ShareLedger> ledgers;
        ledgers.reserve(9);
        std::vector<std::size_t> seen(9, 0);
        std::vector<std::deque<std::pair<ShareLedger::TimePoint, int>>> used(9);
        for (int vm = 0; vm < 9; ++vm) {
            ledgers.emplace_back(VmName("vm-" + std::to_string(vm)), kRest);
        }
        std::vector<ShareLedger::TimePoint> changedAt;
        ShareLedger::TimePoint now = kStart;
        for (int step = 0; step < 60; ++step, now += 1s) {
            if (lists.empty() || *rc::gen::inRange(0, 6) == 0) {
                lists.push_back(drawList());
                changedAt.push_back(now);
            }
            int sum = 0;
            for (std::size_t vm = 0; vm < 9; ++vm) {
                std::size_t newest = seen[vm];
                while (newest < lists.size()
                       && (changedAt[newest] + kListLag <= now || *rc::gen::arbitrary<bool>())) {
                    ++newest;
                }
                if (newest > seen[vm]) {
                    seen[vm] = newest;
                    ledgers[vm].setList(lists[newest - 1], now);
                }
                auto &window = used[vm];
                window.emplace_back(now,
                                    ledgers[vm].share("h1", DataCentreName("obuda"), total, now));
                while (window.front().first + kLongestRequest <= now) {
                    window.pop_front();
                }
                int running = 0;
                for (const auto &[when, share] : window) {
                    running = std::max(running, share);
                }
                sum += running;
            }
            RC_ASSERT(sum <= total);
        }
    }));
}

Test(shareledger, confirmed_list_need_not_rest)
{
    ShareLedger ledger(VmName("vm-1"), kRest);
    ledger.setList(listOf({1}), kStart);
    cr_assert_eq(ledger.share("h1", DataCentreName(), 3, kStart), 0);
    cr_assert(ledger.isResting(kStart));
    ledger.confirm();
    cr_assert_eq(ledger.share("h1", DataCentreName(), 3, kStart), 3);
    ledger.setList(listOf({1, 2}), kStart + 1s);
    cr_assert(ledger.mayConfirm(kStart + 1s));
    ledger.setList(listOf({1}), kStart + 2s);
    cr_assert(!ledger.mayConfirm(kStart + 2s));
    cr_assert(ledger.mayConfirm(kStart + 2s + kRest));
}

Test(shareledger, a_released_vm_that_goes_needs_no_rest)
{
    ShareLedger ledger(VmName("vm-1"), kRest);
    ledger.setList(listOf({1, 2}), kStart);
    ledger.confirm();
    ledger.noteReleased(VmName("vm-2"));
    ledger.setList(listOf({1}), kStart + 1s);
    cr_assert(ledger.mayConfirm(kStart + 1s), "vm-2 had released its slots");
    ledger.setList(listOf({1, 2}), kStart + 2s);
    ledger.forgetReleased(VmName("vm-2"));
    ledger.setList(listOf({1}), kStart + 3s);
    cr_assert(!ledger.mayConfirm(kStart + 3s), "vm-2 went without a word this time");
}
