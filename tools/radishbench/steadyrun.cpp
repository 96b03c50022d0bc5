#include "radishbench/steadyrun.h"

#include "global/seededrandom.h"
#include "net/asioeventloop.h"
#include "net/batchsocket.h"
#include "net/curlhttpclient.h"
#include "radishbench/deployment.h"
#include "radishbench/requestcaller.h"
#include "radishbench/vmprocesses.h"
#include "settings/configurationcodec.h"
#include "settings/types/encodedconfiguration.h"
#include "standins/flowcaller.h"
#include "standins/storestandin.h"
#include "standins/upstreamstandin.h"
#include "store/storekeys.h"

#include <algorithm>
#include <csignal>

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kWarmUp{1500};
constexpr std::chrono::milliseconds kTick{10};
constexpr std::chrono::milliseconds kFlowInterval{50};
constexpr std::chrono::milliseconds kShortFlow{1000};
constexpr std::chrono::milliseconds kDrain{1500};
constexpr int kLongFlows = 100;
constexpr int kFlowsPerTick = 2;

//! Everything that takes part in one run.
class SteadyRun
{
public:
    explicit SteadyRun(const RunOptions &options)
        : options(options), deployment(steadyDeployment(options.network, options.vms)),
          random(options.seed), store(this->deployment.store),
          processes(options.daemon, this->deployment.vms), client(this->loop),
          flowCaller(this->deployment.callers, this->loop,
                     [this](std::span<const std::uint8_t> packet) { this->deliver(packet); }),
          requestCaller(this->client, [this] { return this->randomVm().requests; })
    { }

    bool start()
    {
        Reason reason;
        this->fabric = net::BatchSocket::open({this->deployment.callers + 1, 0}, reason);
        const auto encoded = settings::ConfigurationCodec().encode(this->deployment.configuration);
        for (const auto &[digest, part] : encoded.partsByDigest) {
            this->store.put(std::string(store::kPartPrefix) + digest, part);
        }
        this->store.put(std::string(store::kConfigurationKey), encoded.head);
        bool started = this->fabric && this->store.start() && this->flowCaller.start();
        for (const settings::Service &service : this->deployment.configuration.services) {
            for (const settings::Upstream &upstream : service.upstreams) {
                this->upstreams.push_back(
                    std::make_unique<standins::UpstreamStandin>(service, upstream, this->loop));
                started = started && this->upstreams.back()->start();
            }
        }
        for (std::size_t i = 0; i < this->deployment.vms.size(); ++i) {
            started = started && this->processes.start(i);
        }
        return started;
    }

    void run()
    {
        this->loop.after(kWarmUp, [this] { this->beginLoad(); });
        this->loop.run();
        for (std::size_t i = 0; i < this->deployment.vms.size(); ++i) {
            this->processes.signal(i, SIGTERM);
            this->processes.wait(i);
        }
    }

    Json::Value measures() const;

private:
    const settings::VmSettings &randomVm()
    {
        return this->deployment.vms[this->random.next() % this->deployment.vms.size()];
    }

    void deliver(std::span<const std::uint8_t> packet)
    {
        this->fabric->send(packet, this->randomVm().data);
    }

    void beginLoad()
    {
        const settings::Service &service = this->deployment.configuration.services.front();
        for (int i = 0; i < kLongFlows; ++i) {
            this->flowCaller.open(service.address, this->options.duration, kFlowInterval);
        }
        this->loop.every(kTick, [this] { this->tick(); });
        this->loop.after(this->options.duration, [this] { this->loading = false; });
        this->loop.after(this->options.duration + kDrain, [this] { this->loop.stop(); });
    }

    void tick()
    {
        const settings::Service &service = this->deployment.configuration.services.front();
        if (this->loading) {
            for (int i = 0; i < kFlowsPerTick; ++i) {
                this->flowCaller.open(service.address, kShortFlow, kFlowInterval);
            }
            this->requestCaller.lookUp(service.name.str());
            if (this->requestCaller.sent() % 4 == 0) {
                this->requestCaller.reserve(service.name.str());
            }
        }
        this->flowCaller.tick(std::chrono::steady_clock::now());
        this->fabric->flush();
    }

    RunOptions options;
    Deployment deployment;
    SeededRandom random;
    net::AsioEventLoop loop;
    standins::StoreStandin store;
    VmProcesses processes;
    net::CurlHttpClient client;
    std::unique_ptr<net::BatchSocket> fabric;
    std::vector<std::unique_ptr<standins::UpstreamStandin>> upstreams;
    standins::FlowCaller flowCaller;
    RequestCaller requestCaller;
    bool loading = true;
};

void addBound(Json::Value &json, const std::string &name, double bound, double value, bool holds)
{
    Json::Value item(Json::objectValue);
    item["name"] = name;
    item["bound"] = bound;
    item["value"] = value;
    item["holds"] = holds;
    json["bounds"].append(item);
}

Json::Value SteadyRun::measures() const
{
    std::uint64_t misdelivered = 0;
    std::uint64_t runTwice = 0;
    std::map<std::string, int> runs;
    for (const auto &upstream : this->upstreams) {
        misdelivered += upstream->misdelivered();
        for (const auto &[key, count] : upstream->runs()) {
            runs[key] += count;
        }
    }
    for (const auto &[key, count] : runs) {
        runTwice += count > 1 ? 1 : 0;
    }
    std::uint64_t falseNotRun = 0;
    for (const std::string &key : this->requestCaller.refusedKeys()) {
        falseNotRun += runs.contains(key) ? 1 : 0;
    }
    std::uint64_t most = 0;
    std::uint64_t total = 0;
    for (const auto &[upstream, count] : this->flowCaller.openedBy()) {
        most = std::max(most, count);
        total += count;
    }
    const double mean = static_cast<double>(total) / static_cast<double>(this->upstreams.size());
    const double imbalance = total == 0 ? 0 : static_cast<double>(most) / mean;
    const double sent = static_cast<double>(this->requestCaller.sent());
    const double ratio = sent == 0 ? 0 : static_cast<double>(this->requestCaller.answered()) / sent;

    Json::Value json(Json::objectValue);
    json["scenario"] = "steady";
    json["seed"] = static_cast<Json::UInt64>(this->options.seed);
    json["flows"] = static_cast<Json::UInt64>(this->flowCaller.opened());
    json["flows_not_opened"] = static_cast<Json::UInt64>(this->flowCaller.notOpened());
    json["broken_flows"] = static_cast<Json::UInt64>(this->flowCaller.broken());
    json["misdelivered"] = static_cast<Json::UInt64>(misdelivered);
    json["requests"] = static_cast<Json::UInt64>(this->requestCaller.sent());
    json["answered_ratio"] = ratio;
    json["bad_answers"] = static_cast<Json::UInt64>(this->requestCaller.badAnswers());
    json["run_twice"] = static_cast<Json::UInt64>(runTwice);
    json["false_not_run"] = static_cast<Json::UInt64>(falseNotRun);
    json["imbalance_max_over_mean"] = imbalance;
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    addBound(json, "broken_flows", 0, count(this->flowCaller.broken()),
             this->flowCaller.broken() == 0);
    addBound(json, "misdelivered", 0, count(misdelivered), misdelivered == 0);
    addBound(json, "run_twice", 0, count(runTwice), runTwice == 0);
    addBound(json, "false_not_run", 0, count(falseNotRun), falseNotRun == 0);
    addBound(json, "bad_answers", 0, count(this->requestCaller.badAnswers()),
             this->requestCaller.badAnswers() == 0);
    addBound(json, "answered_ratio", 0.999, ratio, ratio >= 0.999);
    addBound(json, "imbalance_max_over_mean", 1.25, imbalance, total > 0 && imbalance <= 1.25);
    return json;
}
}

Json::Value runSteady(const RunOptions &options)
{
    SteadyRun run(options);
    if (!run.start()) {
        Json::Value error(Json::objectValue);
        error["error"] = "a stand-in or daemon could not be started";
        return error;
    }
    run.run();
    return run.measures();
}
}
