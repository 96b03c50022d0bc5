#include "store/delaybudget.h"

#include <criterion/criterion.h>

using namespace radishladder::store;
using namespace std::chrono_literals;

Test(delaybudget, the_stages_add_up_to_the_limit_of_every_deployment)
{
    // Guards against stages whose delays are each well within a limit that their sum exceeds.
    for (const auto limit :
         {1600ms, 1700ms, 2000ms, 2500ms, 3000ms, 4000ms, 5000ms, 6000ms, 20000ms}) {
        const DelayBudget budget(limit);
        cr_expect_leq(budget.longestDirect().count(), limit.count());
        cr_expect_leq(budget.longestThroughRelay().count(), limit.count());
        cr_expect_eq(budget.allowsRelays(), limit >= 1700ms, "%ld ms", limit.count());
        // While nothing fails, no VM leaves its relay.
        if (budget.allowsRelays()) {
            cr_expect_leq(budget.longestRelayAge().count(),
                          (budget.maxAge() - DelayBudget::kMinRemaining).count(), "%ld ms",
                          limit.count());
        }
        cr_expect_leq(budget.relayPause().count(), budget.directPause().count());
    }
}

Test(delaybudget, a_limit_that_is_shorter_than_the_calls_leaves_no_pause)
{
    for (const auto limit : {0ms, 100ms, 600ms}) {
        const DelayBudget budget(limit);
        cr_expect_eq(budget.relayPause().count(), 0);
        cr_expect_eq(budget.maxAge().count(), 0);
        cr_expect(!budget.allowsRelays());
    }
}
