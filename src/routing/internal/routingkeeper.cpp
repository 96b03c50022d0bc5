#include "routing/routingkeeper.h"

#include "global/iclock.h"
#include "global/resultcode.h"
#include "routing/routetable.h"
#include "routing/types/configuration.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <algorithm>

namespace radishladder::routing {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;
}

RoutingKeeper::RoutingKeeper(RouteTable &table, const IClock &clock, telemetry::IEventLog &log)
    : table(table), clock(clock), log(log)
{ }

void RoutingKeeper::onConfiguration(Configuration configuration)
{
    const auto version = static_cast<std::int64_t>(configuration.version);
    const auto before = static_cast<std::int64_t>(this->table.version());
    const auto routes = static_cast<std::int64_t>(configuration.routes.size());
    const bool isNewer = this->table.apply(std::move(configuration));
    if (!isNewer && version == before) {
        return;
    }
    this->log.write(
        LogEntry(LogKind::State, isNewer ? "configuration.applied" : "configuration.outdated")
            .number("version", version)
            .number("version_before", before)
            .number("routes", routes));
}

void RoutingKeeper::onConfigurationRejected(const std::string &detail)
{
    this->log.write(LogEntry(LogKind::State, "configuration.rejected")
                        .text("code", resultCodeName(ResultCode::ConfigurationMalformed))
                        .text("detail", detail));
}

void RoutingKeeper::onEvacuations(const std::vector<DataCentreName> &out)
{
    for (const DataCentreName &dataCentre : this->table.evacuated()) {
        if (std::ranges::find(out, dataCentre) == out.end()) {
            this->onTakenBack(dataCentre);
        }
    }
    for (const DataCentreName &dataCentre : out) {
        this->onEvacuated(dataCentre);
    }
}

void RoutingKeeper::onEvacuated(const DataCentreName &dataCentre)
{
    if (this->table.evacuate(dataCentre, this->clock.now())) {
        this->log.write(
            LogEntry(LogKind::State, "data_centre.out").text("data_centre", dataCentre.str()));
    }
}

void RoutingKeeper::onTakenBack(const DataCentreName &dataCentre)
{
    if (this->table.takeBack(dataCentre)) {
        this->log.write(
            LogEntry(LogKind::State, "data_centre.in").text("data_centre", dataCentre.str()));
    }
}
}
