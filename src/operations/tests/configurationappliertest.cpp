#include "operations/configurationapplier.h"
#include "global/seededrandom.h"
#include "operations/changehistorycodec.h"
#include "operations/tests/fakechangestore.h"
#include "operations/types/applyresult.h"
#include "settings/configurationcodec.h"
#include "store/storekeys.h"

#include <algorithm>
#include <criterion/parameterized.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::operations;
using fakes::FakeChangeStore;
using fakes::Fate;

namespace {
constexpr int kChanges = 8;
const std::string kHead(store::kConfigurationKey);

//! A configuration whose only service has \a weight as the weight of its upstream.
settings::Configuration withWeight(int weight)
{
    settings::Configuration configuration;
    configuration.dataCentres = {{DataCentreName("obuda"), false}};
    settings::Service service{.name = ServiceName("portal"), .address = {0x7f330001, 443}};
    service.upstreams.push_back({.name = UpstreamName("h1"),
                                 .dataCentre = DataCentreName("obuda"),
                                 .tunnel = {0x7f330101, 6080},
                                 .weight = weight});
    configuration.services.push_back(service);
    return configuration;
}

ChangeRecord changeCalled(const std::string &id, const std::string &operatorName)
{
    return {.changeId = id, .operatorName = operatorName, .summary = "change " + id};
}

std::optional<settings::Configuration> inForce(const FakeChangeStore &store)
{
    settings::ConfigurationCodec codec;
    const auto head = store.entries.find(kHead);
    return head == store.entries.end()
        ? std::nullopt
        : codec.decode(head->second.value, [&store](const std::string &digest) {
              const auto part = store.entries.find(std::string(store::kPartPrefix) + digest);
              return part == store.entries.end() ? std::nullopt
                                                 : std::make_optional(part->second.value);
          });
}

struct Operator
{
    explicit Operator(FakeChangeStore &store) : applier(store) { }

    void apply(int weight, const std::string &id)
    {
        this->result.reset();
        this->applier.apply(withWeight(weight), changeCalled(id, "op-" + id),
                            [this](const ApplyResult &done) { this->result = done; });
    }

    ConfigurationApplier applier;
    std::optional<ApplyResult> result;
    bool busy = false;
};

//! Runs all calls; the \a faultyCall-th gets \a fate.
ApplyResult applyWith(FakeChangeStore &store, int weight, const std::string &id,
                      int faultyCall = -1, Fate fate = Fate::Answered)
{
    Operator one(store);
    one.apply(weight, id);
    for (int i = 0; !store.calls.empty(); ++i) {
        store.run(0, i == faultyCall ? fate : Fate::Answered);
    }
    cr_assert(one.result.has_value());
    return *one.result;
}

struct Fixture
{
    Fixture() { this->store.watchedKey = kHead; }
    FakeChangeStore store;
};
}

Test(applier, generations_grow_by_one_and_history_names_the_changes)
{
    Fixture f;
    cr_assert(applyWith(f.store, 1, "a").reason.code == ResultCode::Ok);
    cr_assert(applyWith(f.store, 2, "b").change.generation == 2);
    cr_assert(applyWith(f.store, 2, "c").reason.code == ResultCode::ChangeNothingToDo);
    cr_assert(inForce(f.store)->generation == 2);
    Reason reason;
    const auto history =
        readHistory(f.store.entries[std::string(store::kHistoryKey)].value, reason);
    cr_assert(history && history->changes.size() == 2);
    cr_assert(history->changes[0].changeId == "b" && history->changes[0].operatorName == "op-b");
}

Test(applier, history_is_bounded_and_old_parts_are_removed)
{
    Fixture f;
    for (int weight = 1; weight <= 110; ++weight) {
        cr_assert(applyWith(f.store, weight, std::to_string(weight)).reason.code == ResultCode::Ok);
    }
    Reason reason;
    const auto history =
        readHistory(f.store.entries[std::string(store::kHistoryKey)].value, reason);
    cr_assert_eq(history->changes.size(), 100);
    const auto parts = std::ranges::count_if(f.store.entries, [](const auto &entry) {
        return entry.first.starts_with(store::kPartPrefix);
    });
    // Three generations, each with the part of the service and that of its group.
    cr_assert_eq(parts, 6);
}

struct FaultCase
{
    int call;
    Fate fate;
};

ParameterizedTestParameters(applier, one_fault_anywhere_is_settled)
{
    static FaultCase cases[] = {
        {0, Fate::Unreachable},   {1, Fate::Unreachable},   {2, Fate::Unreachable},
        {3, Fate::Unreachable},   {4, Fate::Unreachable},   {5, Fate::Unreachable},
        {3, Fate::AnswerLost},    {4, Fate::AnswerLost},    {5, Fate::AnswerLost},
        {3, Fate::EffectDelayed}, {4, Fate::EffectDelayed}, {5, Fate::EffectDelayed},
    };
    return cr_make_param_array(FaultCase, cases, sizeof(cases) / sizeof(FaultCase));
}

ParameterizedTest(FaultCase *row, applier, one_fault_anywhere_is_settled)
{
    Fixture f;
    applyWith(f.store, 1, "a");
    const ApplyResult result = applyWith(f.store, 2, "b", row->call, row->fate);
    cr_assert(result.reason.code == ResultCode::Ok, "%s", result.reason.detail.c_str());
    f.store.runDelayedEffects();
    cr_assert(inForce(f.store)->generation == 2 && inForce(f.store)->changeId == "b");
    cr_assert_eq(f.store.log.size(), 2);
}

Test(applier, an_outage_changes_nothing)
{
    Fixture f;
    applyWith(f.store, 1, "a");
    Operator one(f.store);
    one.apply(2, "b");
    while (!f.store.calls.empty()) {
        f.store.run(0, Fate::Unreachable);
    }
    cr_assert(one.result->reason.code == ResultCode::StoreUnreachable);
    cr_assert(inForce(f.store)->changeId == "a");
}

Test(applier, the_loser_learns_who_won_and_what_differs)
{
    Fixture f;
    applyWith(f.store, 1, "a");
    Operator slow(f.store);
    slow.apply(2, "slow");
    for (int i = 0; i < 5; ++i) {
        f.store.run(0, Fate::Answered);
    }
    auto waiting = std::exchange(f.store.calls, {});
    applyWith(f.store, 3, "fast");
    f.store.calls = std::move(waiting);
    while (!f.store.calls.empty()) {
        f.store.run(0, Fate::Answered);
    }
    cr_assert(slow.result->reason.code == ResultCode::ChangeLost);
    cr_assert(slow.result->winner && slow.result->winner->operatorName == "op-fast");
    const settings::Difference expected{"/services/portal/upstreams/h1/weight", "3", "2"};
    cr_assert(slow.result->differences == std::vector{expected});
}

Test(applier, an_old_head_is_not_taken_for_nothing_to_do)
{
    Fixture f;
    applyWith(f.store, 1, "a");
    f.store.keepPast();
    applyWith(f.store, 2, "b");
    Operator one(f.store);
    one.apply(1, "c");
    while (!f.store.calls.empty()) {
        f.store.run(0, Fate::Stale);
    }
    cr_assert(one.result->reason.code != ResultCode::ChangeNothingToDo);
    cr_assert(inForce(f.store)->changeId == "b");
}

Test(applier, a_head_written_without_history_is_followed_by_the_next_change)
{
    Fixture f;
    applyWith(f.store, 1, "a");
    f.store.entries.erase(std::string(store::kHistoryKey));
    cr_assert(applyWith(f.store, 2, "b").reason.code == ResultCode::Ok);
    cr_assert(inForce(f.store)->generation == 2);
}

Test(applier, a_head_whose_parts_are_lost_can_be_replaced)
{
    Fixture f;
    applyWith(f.store, 1, "a");
    std::erase_if(f.store.entries,
                  [](const auto &entry) { return entry.first.starts_with(store::kPartPrefix); });
    cr_assert(!inForce(f.store).has_value());
    cr_assert(applyWith(f.store, 2, "b").reason.code == ResultCode::Ok);
    cr_assert(inForce(f.store)->generation == 2);
}

Test(applier, a_conflict_with_its_own_lost_write_is_no_loss)
{
    Fixture f;
    applyWith(f.store, 1, "a");
    f.store.keepPast();
    Operator one(f.store);
    one.apply(2, "b");
    for (int i = 0; !f.store.calls.empty(); ++i) {
        // The write of the head loses its answer and the reads after it show the past.
        f.store.run(0, i == 5 ? Fate::AnswerLost : i > 5 && i < 9 ? Fate::Stale : Fate::Answered);
    }
    cr_assert(one.result->reason.code == ResultCode::Ok, "%s", one.result->reason.detail.c_str());
}

Test(applier, a_part_in_use_again_outlives_its_removal_by_another_operator)
{
    Fixture f;
    for (int weight = 1; weight <= 4; ++weight) {
        applyWith(f.store, weight, std::to_string(weight));
    }
    Operator cleaner(f.store);
    cleaner.apply(5, "cleaner");
    while (!cleaner.result) {
        f.store.run(0, Fate::Answered);
    }
    auto removals = std::exchange(f.store.calls, {});
    cr_assert(!removals.empty());
    Operator reviver(f.store);
    reviver.apply(2, "reviver");
    for (int i = 0; i < 5; ++i) {
        f.store.run(0, Fate::Answered);
    }
    for (const auto &removal : removals) {
        removal(Fate::Answered);
    }
    f.store.run(0, Fate::Answered);
    cr_assert(reviver.result && reviver.result->reason.code == ResultCode::Ok);
    cr_assert(inForce(f.store) && inForce(f.store)->changeId == "reviver");
}

namespace {
Fate randomFate(std::uint64_t number)
{
    switch (number) {
    case 0:
        return Fate::Unreachable;
    case 1:
        return Fate::AnswerLost;
    case 2:
        return Fate::EffectDelayed;
    case 3:
        return Fate::Stale;
    default:
        return Fate::Answered;
    }
}

//! What the store's log says about change \a id.
bool wasInForce(const FakeChangeStore &store, const std::string &id)
{
    const auto times = std::ranges::count_if(store.log, [&id](const std::string &head) {
        return head.find("\"changeId\":\"" + id + "\"") != std::string::npos;
    });
    RC_ASSERT(times <= 1);
    return times == 1;
}

//! The result of one change says no more than what is true.
void checkTruth(const FakeChangeStore &store, const ApplyResult &result)
{
    const bool accepted = wasInForce(store, result.change.changeId);
    if (result.reason.code == ResultCode::Ok) {
        RC_ASSERT(accepted);
    } else if (result.reason.code != ResultCode::StoreAnswerLost) {
        RC_ASSERT(!accepted);
    }
    if (result.winner) {
        RC_ASSERT(wasInForce(store, result.winner->changeId));
    }
}
}

Test(applier, two_operators_under_random_faults)
{
    cr_assert(rc::check([](std::uint32_t seed) {
        Fixture f;
        Operator operators[2] = {Operator(f.store), Operator(f.store)};
        std::vector<ApplyResult> results;
        SeededRandom random(seed);
        // From mostly faults to few: four of the fates below this number are faults.
        const std::uint64_t fates = 6 + random.next() % 20;
        int changes = 0;
        while (changes < kChanges || !f.store.calls.empty()) {
            Operator &one = operators[changes % 2];
            if (one.result) {
                results.push_back(*one.result);
                one.result.reset();
                one.busy = false;
            }
            if (changes < kChanges && !one.busy && random.next() % 4 == 0) {
                one.busy = true;
                one.apply(static_cast<int>(random.next() % 4) + 1, "c" + std::to_string(changes++));
            }
            if (random.next() % 16 == 0) {
                f.store.keepPast();
            }
            if (random.next() % 16 == 0) {
                f.store.runDelayedEffects();
            }
            if (!f.store.calls.empty()) {
                const std::size_t call = random.next() % f.store.calls.size();
                f.store.run(call, randomFate(random.next() % fates));
            }
        }
        f.store.runDelayedEffects();
        for (const Operator &one : operators) {
            if (one.result) {
                results.push_back(*one.result);
            }
        }
        RC_ASSERT(results.size() == static_cast<std::size_t>(kChanges));
        for (std::size_t i = 0; i < f.store.log.size(); ++i) {
            RC_ASSERT(f.store.log[i].find("\"generation\":" + std::to_string(i + 1) + ",")
                      != std::string::npos);
        }
        for (const ApplyResult &result : results) {
            checkTruth(f.store, result);
        }
        RC_ASSERT(f.store.log.empty() || inForce(f.store).has_value());
    }));
}
