#include "app/rotationpolicy.h"

#include <criterion/criterion.h>
#include <vector>

using namespace radishladder::app;
using namespace std::chrono_literals;

namespace {
using Conditions = RotationPolicy::Conditions;

constexpr Conditions kHealthy{.servesLocally = true, .isCutOff = false, .isStoreConnected = true};
constexpr Conditions kStoreLost{
    .servesLocally = true, .isCutOff = false, .isStoreConnected = false};
constexpr Conditions kSilentUpstreams{
    .servesLocally = false, .isCutOff = true, .isStoreConnected = true};
constexpr Conditions kDisconnected{
    .servesLocally = false, .isCutOff = true, .isStoreConnected = false};

//! Conditions of a disconnected VM whose clients acknowledge responses that they received through
//! other VMs: the acknowledgements make it look as if an upstream had responded through this VM.
constexpr Conditions kIndirectResponses{
    .servesLocally = false, .isCutOff = false, .isStoreConnected = false};

constexpr Conditions kEvacuated{.servesLocally = false, .isEvacuated = true};
constexpr Conditions kEvacuatedAndDisconnected{
    .servesLocally = false, .isCutOff = true, .isStoreConnected = false, .isEvacuated = true};

struct Step
{
    std::chrono::milliseconds at;
    Conditions conditions;
    bool isWithdrawn;
};
}

Test(rotationpolicy, a_vm_is_withdrawn_while_other_data_centres_serve_its_clients_better)
{
    struct Row
    {
        const char *name;
        std::vector<Step> steps;
    };
    const Row rows[] = {
        {"evacuated: returns as soon as the evacuation ends",
         {{0ms, kEvacuated, true}, {60s, kEvacuated, true}, {60250ms, kHealthy, false}}},
        {"evacuated from the first moment on, then no other data centre can serve",
         {{0ms, kEvacuated, true}, {1s, {.servesLocally = false}, false}, {2s, kEvacuated, true}}},
        {"evacuated and cut off: stays out after the evacuation until it is connected",
         {{0ms, kEvacuated, true},
          {1s, kEvacuatedAndDisconnected, true},
          {2s, kDisconnected, true},
          {3s, kStoreLost, false}}},
        {"evacuated and cut off: returns when both have ended",
         {{0ms, kEvacuatedAndDisconnected, true},
          {2s, kEvacuatedAndDisconnected, true},
          {3s, kEvacuated, true},
          {4s, kHealthy, false}}},
        {"calm", {{0ms, kHealthy, false}, {60s, kHealthy, false}}},
        {"only the store is lost", {{0ms, kStoreLost, false}, {60s, kStoreLost, false}}},
        {"disconnected until the store responds again",
         {{0ms, kSilentUpstreams, true},
          {2s, kSilentUpstreams, true},
          {3s, kDisconnected, true},
          {5s, kIndirectResponses, true},
          {6s, kDisconnected, true},
          {6250ms, kSilentUpstreams, false}}},
        {"local upstreams serve again",
         {{0ms, kSilentUpstreams, true}, {1s, kDisconnected, true}, {2s, kStoreLost, false}}},
        {"only upstreams are silent: returns after increasing delays",
         {{0ms, kSilentUpstreams, true},
          {3900ms, kSilentUpstreams, true},
          {4s, kSilentUpstreams, false},
          {5s, kSilentUpstreams, true},
          {12900ms, kSilentUpstreams, true},
          {13s, kSilentUpstreams, false}}},
        {"the store stays lost after upstreams are reachable again",
         {{0ms, kDisconnected, true}, {14900ms, kDisconnected, true}, {15s, kDisconnected, false}}},
        {"delays start again at the first value after a long time in rotation",
         {{0ms, kSilentUpstreams, true},
          {4s, kHealthy, false},
          {40s, kSilentUpstreams, true},
          {44s, kSilentUpstreams, false}}},
    };
    for (const Row &row : rows) {
        RotationPolicy policy;
        const RotationPolicy::TimePoint start{1h};
        bool wasWithdrawn = false;
        for (const Step &step : row.steps) {
            const bool hasChanged = policy.update(step.conditions, start + step.at);
            cr_assert_eq(policy.isWithdrawn(), step.isWithdrawn, "%s", row.name);
            cr_assert_eq(hasChanged, step.isWithdrawn != wasWithdrawn, "%s", row.name);
            wasWithdrawn = step.isWithdrawn;
        }
    }
}

Test(rotationpolicy, a_withdrawal_soon_after_boot_lasts_as_long_as_any_other)
{
    // The monotonic clock may start at zero when the VM boots.
    RotationPolicy policy;
    const RotationPolicy::TimePoint boot{};
    cr_assert(policy.update(kSilentUpstreams, boot + 1s));
    cr_assert_not(policy.update(kSilentUpstreams, boot + 4900ms));
    cr_assert(policy.update(kSilentUpstreams, boot + 5s));
}
