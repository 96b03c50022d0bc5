#include "app/heldpackets.h"

#include <criterion/criterion.h>

using namespace radishladder::app;
using namespace std::chrono_literals;

Test(heldpackets, packets_of_a_start_are_kept_in_order_until_callers_repeat_them)
{
    HeldPackets held;
    const HeldPackets::TimePoint start{1h};
    for (std::uint8_t i = 0; i < 30; ++i) {
        const std::uint8_t bytes[] = {i};
        cr_assert(held.hold(bytes, start + i * 10ms));
    }
    const auto fresh = held.takeFresh(start + 300ms);
    cr_assert_eq(fresh.size(), 19U);
    cr_assert_eq(fresh.front()[0], 11);
    cr_assert_eq(fresh.back()[0], 29);
    cr_assert(held.isEmpty());
}

Test(heldpackets, a_herd_does_not_grow_without_bound)
{
    HeldPackets held;
    const HeldPackets::TimePoint start{1h};
    const std::uint8_t bytes[1200] = {};
    int taken = 0;
    for (int i = 0; i < 100000; ++i) {
        taken += held.hold(bytes, start) ? 1 : 0;
    }
    cr_assert_eq(taken, 2048);
}
