#include "app/stalldetector.h"

#include <criterion/criterion.h>

using namespace radishladder::app;
using namespace std::chrono_literals;

Test(stalldetector, packets_read_just_after_a_long_pause_may_have_waited)
{
    struct Row
    {
        const char *name;
        std::chrono::milliseconds pause;
        std::chrono::milliseconds readAfter;
        bool mayHaveBeenQueued;
    };
    const Row rows[] = {
        {"ticks without a stall", 250ms, 0ms, false},
        {"pause too short for routers to withdraw the VM", 900ms, 0ms, false},
        {"first packet after a stall", 3500ms, 0ms, true},
        {"rest of the queue", 3500ms, 20ms, true},
        {"packet that arrived after the stall", 3500ms, 60ms, false},
    };
    for (const Row &row : rows) {
        StallDetector detector;
        detector.recordRunning(100s);
        detector.recordRunning(100s + row.pause);
        if (row.readAfter > 0ms) {
            detector.recordRunning(100s + row.pause + row.readAfter);
        }
        cr_assert_eq(detector.mayHaveBeenQueued(), row.mayHaveBeenQueued, "%s", row.name);
    }
}

Test(stalldetector, the_start_of_the_process_is_not_a_stall)
{
    StallDetector detector;
    detector.recordRunning(500s);
    cr_assert_not(detector.mayHaveBeenQueued());
}
