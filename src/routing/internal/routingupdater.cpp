#include "routing/routingupdater.h"

#include "global/iclock.h"
#include "global/resultcode.h"
#include "routing/routetable.h"
#include "routing/types/configuration.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <algorithm>
#include <utility>

namespace radishladder::routing {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;
}

RoutingUpdater::RoutingUpdater(RouteTable &table, const IClock &clock, telemetry::IEventLog &log,
                               std::chrono::milliseconds recoveryTime)
    : table(table), clock(clock), log(log), recoveryTime(recoveryTime)
{ }

void RoutingUpdater::onConfiguration(Configuration configuration)
{
    const auto version = static_cast<std::int64_t>(configuration.version);
    const auto previousVersion = static_cast<std::int64_t>(this->table.version());
    const auto routes = static_cast<std::int64_t>(configuration.routes.size());
    const bool isNewer = this->table.apply(std::move(configuration));
    if (!isNewer && version == previousVersion) {
        return;
    }
    this->log.write(
        LogEntry(LogKind::State, isNewer ? "configuration.applied" : "configuration.outdated")
            .number("version", version)
            .number("version_before", previousVersion)
            .number("routes", routes));
}

void RoutingUpdater::onConfigurationRejected(const std::string &detail)
{
    this->log.write(LogEntry(LogKind::State, "configuration.rejected")
                        .text("code", resultCodeName(ResultCode::ConfigurationMalformed))
                        .text("detail", detail));
}

void RoutingUpdater::onEvacuations(const std::vector<DataCentreName> &evacuated)
{
    for (const DataCentreName &dataCentre : this->table.evacuatedDataCentres()) {
        if (std::ranges::find(evacuated, dataCentre) != evacuated.end()) {
            continue;
        }
        if (this->restoredAt) {
            this->keep(dataCentre);
        } else {
            this->onEvacuationEnded(dataCentre);
        }
    }
    for (const DataCentreName &dataCentre : evacuated) {
        this->onEvacuated(dataCentre);
    }
}

void RoutingUpdater::keep(const DataCentreName &dataCentre)
{
    if (this->kept.insert(dataCentre).second) {
        this->log.write(LogEntry(LogKind::State, "data_centre.kept")
                            .text("data_centre", dataCentre.str())
                            .duration("at_least_ms", this->recoveryTime));
    }
}

void RoutingUpdater::onUpToDate(std::chrono::steady_clock::time_point confirmedAt)
{
    // A restored store confirms a listing that lacks changes which it had accepted.
    if (this->restoredAt && confirmedAt < *this->restoredAt + this->recoveryTime) {
        return;
    }
    this->restoredAt.reset();
    this->table.recordConfirmation(confirmedAt);
    for (const DataCentreName &dataCentre : std::exchange(this->kept, {})) {
        this->onEvacuationEnded(dataCentre);
    }
}

void RoutingUpdater::onEraChanged()
{
    this->restoredAt = this->clock.now();
    this->table.discardConfirmations();
    this->log.write(LogEntry(LogKind::State, "store.relisted").text("for", "configuration"));
}

void RoutingUpdater::onEvacuated(const DataCentreName &dataCentre)
{
    this->kept.erase(dataCentre);
    this->returning.erase(dataCentre);
    if (this->table.evacuate(dataCentre, this->clock.now())) {
        this->log.write(
            LogEntry(LogKind::State, "data_centre.out").text("data_centre", dataCentre.str()));
    }
}

void RoutingUpdater::onEvacuationEnded(const DataCentreName &dataCentre)
{
    this->kept.erase(dataCentre);
    if (!this->table.isEvacuated(dataCentre)) {
        return;
    }
    // The upstreams of a data centre that was empty are often cold, and their entries arrive over
    // another watch than this change.
    this->returning.insert(dataCentre);
    if (this->returnHandler) {
        this->returnHandler();
    } else {
        this->completeReturns();
    }
}

void RoutingUpdater::completeReturns()
{
    for (const DataCentreName &dataCentre : std::exchange(this->returning, {})) {
        this->endEvacuation(dataCentre);
    }
}

void RoutingUpdater::endEvacuation(const DataCentreName &dataCentre)
{
    if (this->table.endEvacuation(dataCentre)) {
        this->log.write(
            LogEntry(LogKind::State, "data_centre.in").text("data_centre", dataCentre.str()));
    }
}
}
