#include "flows/reachjudge.h"
#include "directorfixture.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

namespace {
//! Three flows on upstreams of another data centre that were answered before.
struct ReachFixture : DirectorFixture
{
    ReachFixture()
    {
        this->add(1, "kobanya");
        this->add(2, "kobanya");
        for (std::uint16_t port = 1; port <= 3; ++port) {
            this->decide(this->opening(port));
            this->decide(this->data(port, port % 2 + 1, 101));
        }
    }

    //! Callers repeat what is not answered.
    void stayUnanswered(std::chrono::milliseconds time)
    {
        const auto until = this->now + time;
        while (this->now < until) {
            this->now += 100ms;
            for (std::uint16_t port = 1; port <= 3; ++port) {
                this->decide(this->data(port, port % 2 + 1, 101));
            }
        }
    }

    ReachJudge judge{this->routes, this->registry, this->table, DataCentreName("obuda")};
};
}

Test(reachjudge, a_vm_is_out_of_reach_if_nothing_near_serves_and_nothing_far_answers)
{
    struct Row
    {
        const char *name;
        void (*change)(ReachFixture &);
        bool isOutOfReach;
    };
    const Row rows[] = {
        {"cut off, nothing of its own", [](ReachFixture &f) { f.stayUnanswered(700ms); }, true},
        {"cut off, own upstreams taken out",
         [](ReachFixture &f) {
             f.add(3);
             f.routes.evacuate(DataCentreName("obuda"), f.now);
             f.stayUnanswered(700ms);
         },
         true},
        {"cut off, own upstreams drain",
         [](ReachFixture &f) {
             auto upstream = f.add(3);
             upstream.draining = true;
             f.registry.update(upstream, f.now);
             f.stayUnanswered(700ms);
         },
         true},
        {"cut off, one of its own serves",
         [](ReachFixture &f) {
             f.add(3);
             f.stayUnanswered(700ms);
         },
         false},
        {"silent for a moment only", [](ReachFixture &f) { f.stayUnanswered(200ms); }, false},
        {"one far upstream still answers",
         [](ReachFixture &f) {
             f.stayUnanswered(700ms);
             f.decide(f.data(1, 2, 301, 900));
         },
         false},
        {"nobody asks", [](ReachFixture &f) { f.now += 10s; }, false},
    };
    for (const Row &row : rows) {
        ReachFixture f;
        row.change(f);
        cr_assert_eq(f.judge.isOutOfReach(f.now), row.isOutOfReach, "%s", row.name);
    }
}

Test(reachjudge, evidence_from_before_a_cut_is_dropped_with_it)
{
    ReachFixture f;
    f.stayUnanswered(700ms);
    f.table.clearSuspicions();
    cr_assert_not(f.judge.isOutOfReach(f.now));
    f.stayUnanswered(700ms);
    cr_assert(f.judge.isOutOfReach(f.now));
}
