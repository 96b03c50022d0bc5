#pragma once

#include <string>

namespace radishladder {
class IClock;
}
namespace radishladder::flows {
class FlowDirector;
class FlowTable;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::net {
struct HttpResponse;
struct HttpRequest;
}
namespace radishladder::routing {
class RouteTable;
}
namespace radishladder::settings {
struct VmSettings;
}
namespace radishladder::telemetry {
class BoundedEventLog;
class IMetrics;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
}

namespace radishladder::app {

//! Serves the pages with which operators inspect one VM: /metrics, /status, /upstreams, /flow and
//! /timeline.
class OperationsPages
{
public:
    OperationsPages(const settings::VmSettings &settings, const IClock &clock,
                    const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                    const membership::IMembership &membership, flows::FlowTable &table,
                    const flows::FlowDirector &director, telemetry::IMetrics &metrics,
                    const telemetry::BoundedEventLog &log);

    //! Returns true if \a path is the path of one of the pages.
    static bool isPage(const std::string &path);

    //! Returns the response to \a request, whose path must be one of the pages.
    net::HttpResponse handle(const net::HttpRequest &request);

private:
    std::string metricsText();
    std::string statusText() const;
    std::string upstreamsText() const;
    std::string timelineText() const;
    net::HttpResponse flowResponse(const std::string &query);

    const settings::VmSettings &settings;
    const IClock &clock;
    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const membership::IMembership &membership;
    flows::FlowTable &table;
    const flows::FlowDirector &director;
    telemetry::IMetrics &metrics;
    const telemetry::BoundedEventLog &log;
};
}
