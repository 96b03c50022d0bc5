#include "radishbench/rollingrestart.h"

#include "net/ieventloop.h"
#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "radishbench/cluster.h"
#include "radishbench/configurationwatch.h"
#include "radishbench/runrecorder.h"

#include <csignal>

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kEndCheck{50};
constexpr std::chrono::milliseconds kReadyCheck{100};
constexpr std::chrono::milliseconds kBetweenVms{500};
constexpr int kStatusOk = 200;
}

RollingRestart::RollingRestart(Cluster &cluster, ConfigurationWatch &watch,
                               net::IHttpClient &client, RunRecorder &recorder)
    : cluster(cluster), watch(watch), client(client), recorder(recorder)
{ }

void RollingRestart::begin()
{
    this->restart(0);
}

void RollingRestart::restart(std::size_t index)
{
    if (this->ceased || index >= this->cluster.deployment().vms.size()) {
        return;
    }
    this->stop(index);
    this->whenEnded(index, [this, index] {
        this->start(index);
        this->whenReady(index, [this, index] {
            ++this->restartedCount;
            this->cluster.loop().after(kBetweenVms, [this, index] { this->restart(index + 1); });
        });
    });
}

void RollingRestart::stop(std::size_t index)
{
    const std::string name = this->cluster.deployment().vms[index].name.str();
    this->recorder.note(std::chrono::steady_clock::now(), "vm-stop", name);
    this->watch.unreachable(index);
    this->cluster.processes().signal(index, SIGTERM);
    this->cluster.platformList().vmLeaving(index);
}

void RollingRestart::startWhenEnded(std::size_t index)
{
    this->whenEnded(index, [this, index] { this->start(index); });
}

void RollingRestart::whenEnded(std::size_t index, Next next)
{
    if (this->ceased) {
        return;
    }
    if (this->cluster.processes().hasEnded(index)) {
        this->cluster.platformList().vmGone(index);
        next();
        return;
    }
    this->cluster.loop().after(
        kEndCheck, [this, index, next = std::move(next)] { this->whenEnded(index, next); });
}

void RollingRestart::start(std::size_t index)
{
    const std::string name = this->cluster.deployment().vms[index].name.str();
    const auto now = std::chrono::steady_clock::now();
    this->recorder.note(now, "vm-start", name);
    if (!this->cluster.processes().start(index)) {
        this->recorder.note(now, "not-started", name);
        return;
    }
    this->watch.restarted(index, now);
    this->cluster.platformList().vmStarted(index);
}

void RollingRestart::whenReady(std::size_t index, const Next &next)
{
    if (this->ceased) {
        return;
    }
    const net::Endpoint admin = this->cluster.deployment().vms[index].admin;
    net::HttpCall call{.url = "http://" + net::endpointText(admin) + "/ready"};
    this->client.send(std::move(call), [this, index, next](const net::HttpResult &result) {
        if (result.reason.code == ResultCode::Ok && result.answer.status == kStatusOk) {
            next();
            return;
        }
        this->cluster.loop().after(kReadyCheck,
                                   [this, index, next] { this->whenReady(index, next); });
    });
}
}
