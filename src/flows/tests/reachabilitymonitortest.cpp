#include "flows/reachabilitymonitor.h"
#include "directorfixture.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

namespace {
//! Opens three flows on remote upstreams, which have responded once.
struct ReachabilityFixture : DirectorFixture
{
    ReachabilityFixture()
    {
        this->add(1, "kobanya");
        this->add(2, "kobanya");
        for (std::uint16_t port = 1; port <= 3; ++port) {
            this->decide(this->syn(port));
            this->decide(this->data(port, port % 2 + 1, 101));
        }
    }

    //! Clients retransmit every 100 ms for \a time without getting a response.
    void retransmitFor(std::chrono::milliseconds time)
    {
        const auto until = this->now + time;
        while (this->now < until) {
            this->now += 100ms;
            for (std::uint16_t port = 1; port <= 3; ++port) {
                this->decide(this->data(port, port % 2 + 1, 101));
            }
        }
    }

    ReachabilityMonitor monitor{this->routes, this->registry, this->table, DataCentreName("obuda")};
};
}

Test(reachabilitymonitor, a_vm_is_cut_off_if_no_local_upstream_serves_and_no_remote_one_responds)
{
    struct Row
    {
        const char *name;
        void (*change)(ReachabilityFixture &);
        bool isCutOff;
    };
    const Row rows[] = {
        {"remote upstreams silent, no local upstream",
         [](ReachabilityFixture &f) { f.retransmitFor(700ms); }, true},
        {"remote upstreams silent, local upstreams evacuated",
         [](ReachabilityFixture &f) {
             f.add(3);
             f.routes.evacuate(DataCentreName("obuda"), f.now);
             f.retransmitFor(700ms);
         },
         true},
        {"remote upstreams silent, local upstreams draining",
         [](ReachabilityFixture &f) {
             auto upstream = f.add(3);
             upstream.draining = true;
             f.registry.update(upstream, f.now);
             f.retransmitFor(700ms);
         },
         true},
        {"remote upstreams silent, one local upstream serves",
         [](ReachabilityFixture &f) {
             f.add(3);
             f.retransmitFor(700ms);
         },
         false},
        {"silent for a short time only", [](ReachabilityFixture &f) { f.retransmitFor(200ms); },
         false},
        {"one remote upstream still responds",
         [](ReachabilityFixture &f) {
             f.retransmitFor(700ms);
             f.decide(f.data(1, 2, 301, 900));
         },
         false},
        {"no requests", [](ReachabilityFixture &f) { f.now += 10s; }, false},
    };
    for (const Row &row : rows) {
        ReachabilityFixture f;
        row.change(f);
        cr_assert_eq(f.monitor.isCutOff(f.now), row.isCutOff, "%s", row.name);
    }
}

Test(reachabilitymonitor, a_data_centre_counts_as_evacuated_while_another_one_can_serve)
{
    struct Row
    {
        const char *name;
        void (*change)(ReachabilityFixture &);
        bool isEvacuated;
    };
    const Row rows[] = {
        {"no evacuation", [](ReachabilityFixture &) {}, false},
        {"the own data centre is evacuated",
         [](ReachabilityFixture &f) { f.routes.evacuate(DataCentreName("obuda"), f.now); }, true},
        {"another data centre is evacuated",
         [](ReachabilityFixture &f) { f.routes.evacuate(DataCentreName("kobanya"), f.now); },
         false},
        {"all data centres with upstreams are evacuated",
         [](ReachabilityFixture &f) {
             f.routes.evacuate(DataCentreName("obuda"), f.now);
             f.routes.evacuate(DataCentreName("kobanya"), f.now);
         },
         false},
        {"the upstreams of the other data centre drain or have ended",
         [](ReachabilityFixture &f) {
             f.routes.evacuate(DataCentreName("obuda"), f.now);
             auto upstream = f.add(1, "kobanya");
             upstream.draining = true;
             f.registry.update(upstream, f.now);
             f.registry.remove({2}, true, f.now);
         },
         false},
        {"the other data centre does not respond to a VM that is cut off",
         [](ReachabilityFixture &f) {
             f.routes.evacuate(DataCentreName("obuda"), f.now);
             f.retransmitFor(700ms);
         },
         true},
        {"the evacuation has ended",
         [](ReachabilityFixture &f) {
             f.routes.evacuate(DataCentreName("obuda"), f.now);
             f.routes.endEvacuation(DataCentreName("obuda"));
         },
         false},
    };
    for (const Row &row : rows) {
        ReachabilityFixture f;
        f.add(3);
        row.change(f);
        cr_assert_eq(f.monitor.isEvacuated(), row.isEvacuated, "%s", row.name);
    }
}

Test(reachabilitymonitor, silence_from_before_an_outage_does_not_count_after_it)
{
    ReachabilityFixture f;
    f.retransmitFor(700ms);
    f.table.clearSilentCounts();
    cr_assert_not(f.monitor.isCutOff(f.now));
    f.retransmitFor(700ms);
    cr_assert(f.monitor.isCutOff(f.now));
}
