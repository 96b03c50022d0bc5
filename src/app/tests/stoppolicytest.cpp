#include "app/stoppolicy.h"

#include <criterion/criterion.h>

using namespace radishladder::app;
using namespace std::chrono_literals;

Test(stoppolicy, a_stopping_vm_exits_once_routers_have_withdrawn_it)
{
    struct Row
    {
        const char *name;
        int failedProbes;
        std::chrono::milliseconds lastPacket; //!< after the stop request
        std::chrono::milliseconds now;
        bool canExit;
    };
    const Row rows[] = {
        {"immediately after the stop request", 0, 0ms, 10ms, false},
        {"one probe", 1, 0ms, 900ms, false},
        {"two probes, packets still arrive", 2, 900ms, 1000ms, false},
        {"two probes and quiet", 2, 900ms, 1300ms, true},
        {"no probes", 0, 0ms, 2900ms, false},
        {"routers keep sending until the limit", 6, 2990ms, 3000ms, true},
    };
    for (const Row &row : rows) {
        const StopPolicy::TimePoint start{1h};
        StopPolicy policy(6s);
        policy.recordFailedProbe();
        policy.requestStop(start);
        for (int i = 0; i < row.failedProbes; ++i) {
            policy.recordFailedProbe();
        }
        cr_assert_eq(policy.canExit(start + row.lastPacket, start + row.now), row.canExit, "%s",
                     row.name);
    }
}

Test(stoppolicy, a_vm_never_exits_without_a_stop_request_and_respects_a_short_limit)
{
    const StopPolicy::TimePoint start{1h};
    StopPolicy policy(2s);
    cr_assert_not(policy.canExit(start, start + 1h));
    policy.requestStop(start);
    cr_assert(policy.canExit(start + 600ms, start + 600ms));
}
