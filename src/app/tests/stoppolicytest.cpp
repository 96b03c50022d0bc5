#include "app/stoppolicy.h"

#include <criterion/criterion.h>

using namespace radishladder::app;
using namespace std::chrono_literals;

Test(stoppolicy, a_vm_ends_when_routers_have_turned_away)
{
    struct Row
    {
        const char *name;
        int refusedProbes;
        std::chrono::milliseconds lastPacket; //!< after it was asked to stop
        std::chrono::milliseconds now;
        bool mayEnd;
    };
    const Row rows[] = {
        {"at once", 0, 0ms, 10ms, false},
        {"one probe", 1, 0ms, 900ms, false},
        {"two probes, packets still arrive", 2, 900ms, 1000ms, false},
        {"two probes and quiet", 2, 900ms, 1300ms, true},
        {"no probe at all", 0, 0ms, 2900ms, false},
        {"no other VM to turn to", 6, 2990ms, 3000ms, true},
    };
    for (const Row &row : rows) {
        const StopPolicy::TimePoint start{1h};
        StopPolicy policy(6s);
        policy.noteProbeRefused();
        policy.askToStop(start);
        for (int i = 0; i < row.refusedProbes; ++i) {
            policy.noteProbeRefused();
        }
        cr_assert_eq(policy.mayEnd(start + row.lastPacket, start + row.now), row.mayEnd, "%s",
                     row.name);
    }
}

Test(stoppolicy, nothing_ends_unasked_and_a_short_limit_is_kept)
{
    const StopPolicy::TimePoint start{1h};
    StopPolicy policy(2s);
    cr_assert_not(policy.mayEnd(start, start + 1h));
    policy.askToStop(start);
    cr_assert(policy.mayEnd(start + 600ms, start + 600ms));
}
