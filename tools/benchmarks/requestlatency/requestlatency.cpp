#include "benchmarks/requestlatency/loneneighbours.h"
#include "global/seededrandom.h"
#include "global/systemclock.h"
#include "net/asioeventloop.h"
#include "net/curlhttpclient.h"
#include "net/ihttpresponder.h"
#include "net/pistachehttpserver.h"
#include "net/types/httpanswer.h"
#include "net/types/httpcall.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "requests/requestengine.h"
#include "requests/requestheaders.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"
#include "telemetry/prometheusmetrics.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cstdio>

ABSL_FLAG(int, network, 1, "second number of the loopback addresses, 1 to 254");
ABSL_FLAG(int, requests, 2000, "requests on each way");

namespace {
using namespace radishladder;
using namespace std::chrono_literals;

constexpr std::uint16_t kPort = 18080;

net::Endpoint endpoint(std::uint32_t host)
{
    const auto network = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_network));
    return {0x7f000000U | network << 16 | host, kPort};
}

settings::Configuration configuration()
{
    settings::Upstream upstream;
    upstream.name = UpstreamName("h1");
    upstream.http = endpoint(1);
    settings::Service service;
    service.name = ServiceName("portal");
    service.upstreams = {upstream};
    settings::Configuration result{.generation = 1};
    result.services = {service};
    return result;
}

//! Sends requests one after the other to two targets in turn, so that both meet the same machine.
class Comparison
{
public:
    Comparison(net::AsioEventLoop &loop, net::IHttpClient &client, SystemClock &clock)
        : loop(loop), client(client), clock(clock)
    { }

    void next()
    {
        const std::size_t way = this->sent % 2;
        if (this->sent++ >= 2 * static_cast<std::size_t>(absl::GetFlag(FLAGS_requests))) {
            this->loop.stop();
            return;
        }
        const auto begin = this->clock.now();
        net::HttpCall call{.url = "http://" + net::endpointText(endpoint(way == 0 ? 1 : 2)) + "/",
                           .headers = {{"Host", "portal"}}};
        this->client.send(std::move(call), [this, way, begin](const net::HttpResult &result) {
            this->failures +=
                result.reason.code == ResultCode::Ok && result.answer.status == 200 ? 0 : 1;
            this->times[way].push_back(
                std::chrono::duration<double, std::milli>(this->clock.now() - begin).count());
            this->next();
        });
    }

    void print()
    {
        for (auto &way : this->times) {
            std::ranges::sort(way);
        }
        const auto at = [this](std::size_t way, double share) {
            const auto &sorted = this->times[way];
            return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        std::printf("            p50 ms  p99 ms\n");
        std::printf("direct     %7.3f %7.3f\n", at(0, 0.5), at(0, 0.99));
        std::printf("through VM %7.3f %7.3f\n", at(1, 0.5), at(1, 0.99));
        std::printf("added      %7.3f %7.3f\n", at(1, 0.5) - at(0, 0.5), at(1, 0.99) - at(0, 0.99));
        std::printf("failures %d of %zu\n", this->failures, this->sent - 1);
    }

private:
    net::AsioEventLoop &loop;
    net::IHttpClient &client;
    SystemClock &clock;
    std::size_t sent = 0;
    int failures = 0;
    std::vector<double> times[2];
};

void answerAtOnce(const net::HttpRequest &request,
                  const std::shared_ptr<net::IHttpResponder> &responder)
{
    const std::string name(requests::kRequestIdHeader);
    responder->answer(
        {.headers = {{name, net::headerValue(request.headers, name)}}, .body = "found"});
}
}

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    SystemClock clock;
    SeededRandom random(1);
    net::AsioEventLoop loop;
    net::CurlHttpClient callerClient(loop);
    net::CurlHttpClient vmClient(loop);
    telemetry::PrometheusMetrics metrics;
    settings::ConfigurationHolder source;
    source.accept(configuration());
    benchmarks::LoneNeighbours lone;
    requests::RequestEngine engine(
        {source, lone, lone, lone, lone, vmClient, metrics, clock, random}, {});
    net::PistacheHttpServer upstream({.local = endpoint(1)});
    net::PistacheHttpServer front({.local = endpoint(2)});
    const bool isUp = upstream.start(answerAtOnce)
        && front.start(
            [&](net::HttpRequest request, std::shared_ptr<net::IHttpResponder> responder) {
                loop.post([&engine, request = std::move(request),
                           responder = std::move(responder)]() mutable {
                    engine.handle(std::move(request), std::move(responder));
                });
            });
    if (!isUp) {
        std::fprintf(stderr, "a port is taken: choose another --network\n");
        return 1;
    }
    loop.every(10ms, [&] { engine.tick(clock.now()); });
    Comparison comparison(loop, callerClient, clock);
    loop.post([&comparison] { comparison.next(); });
    loop.run();
    comparison.print();
    return 0;
}
