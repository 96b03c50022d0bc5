#include "placement/warmuppacer.h"

#include <criterion/criterion.h>
#include <random>

using namespace radishladder;
using namespace radishladder::placement;
using namespace std::chrono_literals;

Test(warmuppacer, two_owners_together_stay_within_the_limit)
{
    struct Row
    {
        double flowsPerSecond;
        double overage;
        int slack;
    };
    const Row rows[] = {{0, 1.5, 5}, {4, 1.5, 5}, {20, 1.5, 5}, {200, 1.2, 2}, {8, 1, 1}};
    for (const Row &row : rows) {
        const int share = warmupShare(row.flowsPerSecond, row.overage, row.slack);
        cr_assert_geq(share, 1);
        cr_assert_leq(2 * share, row.flowsPerSecond * row.overage + row.slack);
    }
}

Test(warmuppacer, no_sliding_second_has_more_flows_than_the_limit)
{
    constexpr int kLimit = 7;
    WarmupPacer pacer;
    std::mt19937 random(3);
    std::vector<WarmupPacer::TimePoint> opened;
    WarmupPacer::TimePoint now{1h};
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::milliseconds(random() % 40);
        if (pacer.canOpen({1}, kLimit, now)) {
            pacer.recordOpened({1}, now);
            opened.push_back(now);
        }
    }
    for (std::size_t i = kLimit; i < opened.size(); ++i) {
        cr_assert(opened[i] - opened[i - kLimit] > 1s);
    }
    cr_assert_gt(opened.size(), 1000U);
}

Test(warmuppacer, each_upstream_is_paced_separately)
{
    WarmupPacer pacer;
    const WarmupPacer::TimePoint now{1h};
    pacer.recordOpened({1}, now);
    cr_assert_not(pacer.canOpen({1}, 1, now));
    cr_assert(pacer.canOpen({2}, 1, now));
    pacer.sweep(now + 2s);
    cr_assert(pacer.canOpen({1}, 1, now + 2s));
}
