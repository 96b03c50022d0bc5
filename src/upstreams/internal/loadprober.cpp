#include "upstreams/loadprober.h"

#include "global/iclock.h"
#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "settings/types/upstream.h"
#include "upstreams/internal/loadreportparser.h"
#include "upstreams/upstreams.h"

namespace radishladder::upstreams {
namespace {
constexpr std::chrono::milliseconds kProbeTimeout{500};
constexpr std::size_t kMaxReportBytes = 4096;
}

LoadProber::LoadProber(Upstreams &upstreams, net::IHttpClient &client, const IClock &clock)
    : upstreams(upstreams), client(client), clock(clock)
{ }

void LoadProber::tick()
{
    for (const settings::Upstream &upstream : this->upstreams.probeDuties()) {
        if (!this->isRunning[upstream.name]) {
            this->probe(upstream);
        }
    }
}

void LoadProber::probe(const settings::Upstream &upstream)
{
    this->isRunning[upstream.name] = true;
    net::HttpCall call{.url = "http://" + net::endpointText(upstream.http) + "/load"};
    call.timeout = kProbeTimeout;
    call.connectTimeout = kProbeTimeout;
    call.maxAnswerBytes = kMaxReportBytes;
    this->client.send(std::move(call), [this, name = upstream.name](const net::HttpResult &result) {
        this->finish(name, result);
    });
}

void LoadProber::finish(const UpstreamName &upstream, const net::HttpResult &result)
{
    this->isRunning.erase(upstream);
    const auto now = this->clock.now();
    if (result.reason.code == ResultCode::Ok) {
        this->upstreams.probeAnswered(upstream, parseLoadReport(result.answer), now);
        return;
    }
    const bool isRefused = result.reason.code == ResultCode::StoreUnreachable;
    this->upstreams.probeFailed(upstream, isRefused ? Observation::Refused : Observation::Silent,
                                now);
}
}
