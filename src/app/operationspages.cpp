#include "app/operationspages.h"

#include "flows/flowdirector.h"
#include "flows/flowtable.h"
#include "flows/types/decisioninputs.h"
#include "global/iclock.h"
#include "membership/imembership.h"
#include "net/query.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "routing/routetable.h"
#include "settings/jsonfile.h"
#include "settings/types/vmsettings.h"
#include "telemetry/boundedeventlog.h"
#include "telemetry/igauge.h"
#include "telemetry/imetrics.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>
#include <array>

namespace radishladder::app {
namespace {
std::int64_t millisecondsOf(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

const char *presenceText(upstreams::Presence presence)
{
    switch (presence) {
    case upstreams::Presence::Present:
        return "present";
    case upstreams::Presence::Doubtful:
        return "doubtful";
    case upstreams::Presence::Gone:
        break;
    }
    return "gone";
}

Json::Value upstreamJson(const upstreams::UpstreamRecord &record,
                         const flows::DecisionInputs &decisionInputs, bool isCold)
{
    Json::Value json;
    json["upstream"] = upstreams::upstreamIdText(record.upstream.id);
    json["service"] = record.upstream.service.str();
    json["dataCentre"] = record.upstream.dataCentre.str();
    json["address"] = net::endpointText(record.upstream.address);
    json["presence"] = presenceText(record.presence);
    json["draining"] = record.upstream.draining;
    json["cold"] = isCold;
    json["entryAgeMs"] = Json::Int64(decisionInputs.entryAge.count());
    json["answerAgeMs"] = Json::Int64(decisionInputs.responseAge.count());
    json["openFlows"] = decisionInputs.openFlows;
    json["busyFlows"] = decisionInputs.busyFlows;
    json["silentFlows"] = decisionInputs.silentFlows;
    return json;
}

}

OperationsPages::OperationsPages(const settings::VmSettings &settings, const IClock &clock,
                                 const routing::RouteTable &routes,
                                 const upstreams::UpstreamRegistry &registry,
                                 const membership::IMembership &membership, flows::FlowTable &table,
                                 const flows::FlowDirector &director, telemetry::IMetrics &metrics,
                                 const telemetry::BoundedEventLog &log)
    : settings(settings), clock(clock), routes(routes), registry(registry), membership(membership),
      table(table), director(director), metrics(metrics), log(log)
{ }

bool OperationsPages::isPage(const std::string &path)
{
    constexpr std::array kPages{"/metrics", "/status", "/upstreams", "/timeline", "/flow"};
    return std::ranges::find(kPages, path) != kPages.end();
}

net::HttpResponse OperationsPages::handle(const net::HttpRequest &request)
{
    if (request.path == "/metrics") {
        return {.contentType = "text/plain; version=0.0.4", .body = this->metricsText()};
    }
    if (request.path == "/status") {
        return {.body = this->statusText()};
    }
    if (request.path == "/upstreams") {
        return {.body = this->upstreamsText()};
    }
    if (request.path == "/timeline") {
        return {.body = this->timelineText()};
    }
    return this->flowResponse(request.query);
}

std::string OperationsPages::metricsText()
{
    this->metrics.gauge("flows").set(static_cast<double>(this->table.size()));
    this->metrics.gauge("routes").set(static_cast<double>(this->routes.size()));
    this->metrics.gauge("upstreams").set(static_cast<double>(this->registry.liveIds().size()));
    this->metrics.gauge("vms").set(static_cast<double>(this->membership.members().size()));
    this->metrics.gauge("configuration_version").set(static_cast<double>(this->routes.version()));
    return this->metrics.exposition();
}

std::string OperationsPages::statusText() const
{
    Json::Value json;
    json["vm"] = this->settings.name.str();
    json["dataCentre"] = this->settings.dataCentre.str();
    json["configuration"] = Json::UInt64(this->routes.version());
    json["routes"] = Json::UInt64(this->routes.size());
    json["flows"] = Json::UInt64(this->table.size());
    // Silence is detected unless a freeze or the settings rule automatic actions out.
    json["automaticActions"] = this->director.detectsSilence();
    json["out"] = Json::arrayValue;
    for (const DataCentreName &dataCentre : this->routes.evacuatedDataCentres()) {
        json["out"].append(dataCentre.str());
    }
    json["vms"] = Json::arrayValue;
    for (const VmName &vm : this->membership.members()) {
        json["vms"].append(vm.str());
    }
    return settings::jsonText(json);
}

std::string OperationsPages::upstreamsText() const
{
    const auto now = this->clock.now();
    Json::Value json(Json::arrayValue);
    for (const upstreams::UpstreamId id : this->registry.liveIds()) {
        const upstreams::UpstreamRecord &record = *this->registry.find(id);
        json.append(
            upstreamJson(record, this->director.decisionInputs(id, now), record.isCold(now)));
    }
    return settings::jsonText(json);
}

std::string OperationsPages::timelineText() const
{
    std::string text = "[";
    for (const std::string &line : this->log.recentStateLines()) {
        text.append(text.size() > 1 ? ",\n" : "");
        text.append(line);
    }
    text.append("]");
    return text;
}

net::HttpResponse OperationsPages::flowResponse(const std::string &query)
{
    const auto parameters = net::queryFields(query);
    const auto endpointOf = [&parameters](const char *name) {
        const auto value = parameters.find(name);
        return value == parameters.end() ? std::nullopt : net::parseEndpoint(value->second);
    };
    const auto clientAddress = endpointOf("caller");
    const auto service = endpointOf("service");
    if (!clientAddress || !service) {
        return {.status = 400, .body = R"({"error":"caller and service are ADDRESS:PORT"})"};
    }
    const flows::FlowRecord *record = this->table.find({*clientAddress, *service});
    if (record == nullptr) {
        return {.status = 404, .body = R"({"error":"no packet of this flow passed lately"})"};
    }
    Json::Value json;
    json["upstream"] = upstreams::upstreamIdText(record->upstream);
    json["opening"] = record->phase == flows::FlowPhase::Opening;
    json["busy"] = record->isBusy;
    json["repeats"] = record->retransmissions;
    json["lastPacketAgeMs"] = Json::Int64(millisecondsOf(this->clock.now() - record->lastPacket));
    json["waitingMs"] = Json::Int64(millisecondsOf(this->clock.now() - record->waitingSince));
    return {.body = settings::jsonText(json)};
}
}
