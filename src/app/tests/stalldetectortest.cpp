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
        bool mayHaveWaited;
    };
    const Row rows[] = {
        {"ticks of a calm process", 250ms, 0ms, false},
        {"a pause that routers do not notice", 900ms, 0ms, false},
        {"first packet after a freeze", 3500ms, 0ms, true},
        {"rest of the queue", 3500ms, 20ms, true},
        {"packet that came after the freeze", 3500ms, 60ms, false},
    };
    for (const Row &row : rows) {
        StallDetector stalls;
        stalls.noteAwake(100s);
        stalls.noteAwake(100s + row.pause);
        if (row.readAfter > 0ms) {
            stalls.noteAwake(100s + row.pause + row.readAfter);
        }
        cr_assert_eq(stalls.mayHaveWaited(), row.mayHaveWaited, "%s", row.name);
    }
}

Test(stalldetector, a_process_that_has_just_started_was_not_paused)
{
    StallDetector stalls;
    stalls.noteAwake(500s);
    cr_assert_not(stalls.mayHaveWaited());
}
