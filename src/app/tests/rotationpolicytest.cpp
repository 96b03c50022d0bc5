#include "app/rotationpolicy.h"

#include <criterion/criterion.h>
#include <vector>

using namespace radishladder::app;
using namespace std::chrono_literals;

namespace {
using Surroundings = RotationPolicy::Surroundings;

constexpr Surroundings kWell{.servesLocally = true, .isOutOfReach = false, .hasStore = true};
constexpr Surroundings kNoStore{.servesLocally = true, .isOutOfReach = false, .hasStore = false};
constexpr Surroundings kSilentUpstreams{
    .servesLocally = false, .isOutOfReach = true, .hasStore = true};
constexpr Surroundings kCutOff{.servesLocally = false, .isOutOfReach = true, .hasStore = false};

//! Answers that came by way of other VMs look like answers to this one.
constexpr Surroundings kForeignAnswers{
    .servesLocally = false, .isOutOfReach = false, .hasStore = false};

struct Step
{
    std::chrono::milliseconds at;
    Surroundings surroundings;
    bool isOut;
};
}

Test(rotationpolicy, a_vm_leaves_while_it_can_serve_nobody)
{
    struct Row
    {
        const char *name;
        std::vector<Step> steps;
    };
    const Row rows[] = {
        {"calm", {{0ms, kWell, false}, {60s, kWell, false}}},
        {"the store alone is away", {{0ms, kNoStore, false}, {60s, kNoStore, false}}},
        {"cut off until the store answers again",
         {{0ms, kSilentUpstreams, true},
          {2s, kSilentUpstreams, true},
          {3s, kCutOff, true},
          {5s, kForeignAnswers, true},
          {6s, kCutOff, true},
          {6250ms, kSilentUpstreams, false}}},
        {"own upstreams are taken back",
         {{0ms, kSilentUpstreams, true}, {1s, kCutOff, true}, {2s, kNoStore, false}}},
        {"only upstreams are silent, so it tries again and again",
         {{0ms, kSilentUpstreams, true},
          {3900ms, kSilentUpstreams, true},
          {4s, kSilentUpstreams, false},
          {5s, kSilentUpstreams, true},
          {12900ms, kSilentUpstreams, true},
          {13s, kSilentUpstreams, false}}},
        {"the store stays away after the way is open",
         {{0ms, kCutOff, true}, {14900ms, kCutOff, true}, {15s, kCutOff, false}}},
        {"pauses begin anew after a long calm",
         {{0ms, kSilentUpstreams, true},
          {4s, kWell, false},
          {40s, kSilentUpstreams, true},
          {44s, kSilentUpstreams, false}}},
    };
    for (const Row &row : rows) {
        RotationPolicy policy;
        const RotationPolicy::TimePoint start{1h};
        bool wasOut = false;
        for (const Step &step : row.steps) {
            const bool changed = policy.judge(step.surroundings, start + step.at);
            cr_assert_eq(policy.isOut(), step.isOut, "%s", row.name);
            cr_assert_eq(changed, step.isOut != wasOut, "%s", row.name);
            wasOut = step.isOut;
        }
    }
}
