#include "routing/routingupdater.h"

#include "global/manualclock.h"
#include "routing/routetable.h"
#include "routing/types/configuration.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::routing;

namespace {
class FakeLog : public telemetry::IEventLog
{
public:
    bool accepts(telemetry::LogKind) override { return true; }
    void write(const telemetry::LogEntry &entry) override { this->text += entry.fields() + "\n"; }

    std::string text;
};
}

Test(routingupdater, a_complete_list_replaces_the_evacuated_data_centres)
{
    ManualClock clock;
    FakeLog log;
    RouteTable table;
    RoutingUpdater updater(table, clock, log);
    updater.onEvacuations({DataCentreName("obuda")});
    updater.onEvacuations({DataCentreName("kobanya")});
    cr_assert_not(table.isEvacuated(DataCentreName("obuda")));
    cr_assert(table.isEvacuated(DataCentreName("kobanya")));
}

Test(routingupdater, each_change_is_logged_once_with_its_version)
{
    ManualClock clock;
    FakeLog log;
    RouteTable table;
    RoutingUpdater updater(table, clock, log);
    updater.onConfiguration({.version = 4});
    updater.onConfiguration({.version = 4});
    updater.onConfiguration({.version = 2});
    updater.onConfigurationRejected("/routes is missing");
    cr_assert_eq(std::ranges::count(log.text, '\n'), 3);
    cr_assert(log.text.find(R"("configuration.applied","version":4,"version_before":0)")
              != std::string::npos);
    cr_assert(log.text.find("configuration.outdated") != std::string::npos);
    cr_assert(log.text.find("ConfigurationMalformed") != std::string::npos);
}
