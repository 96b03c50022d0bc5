#include "operations/platformbackend.h"

#include "membership/types/listedvm.h"
#include "membership/vmlistreader.h"
#include "net/asioeventloop.h"
#include "net/curlhttpclient.h"
#include "operations/configurationapplier.h"
#include "operations/rpc/rpcclient.h"
#include "operations/storedconfigurationreader.h"
#include "operations/types/applyresult.h"
#include "operations/types/vmaddress.h"
#include "operations/types/vmanswer.h"
#include "store/etcdstore.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace radishladder::operations {
namespace {
constexpr std::chrono::milliseconds kVmTimeout{1000};
constexpr std::size_t kParallelCalls = 16;

VmAnswer callOne(const VmAddress &vm, const std::string &token, const std::string &method,
                 const Json::Value &parameters)
{
    const RpcClient client("http://" + net::endpointText(vm.admin) + "/rpc", token, kVmTimeout);
    VmAnswer answer{.vm = vm.name};
    Json::Value result;
    if (client.call(method, parameters, result, answer.error)) {
        answer.result = std::move(result);
    }
    return answer;
}
}

struct PlatformBackend::State
{
    State(std::vector<net::Endpoint> gateways, std::string token)
        : token(std::move(token)), store(this->client, std::move(gateways))
    { }

    std::string token;
    net::AsioEventLoop loop;
    net::CurlHttpClient client{this->loop};
    store::EtcdStore store;
};

PlatformBackend::PlatformBackend(std::vector<net::Endpoint> gateways, std::string token)
    : state(std::make_unique<State>(std::move(gateways), std::move(token)))
{ }

PlatformBackend::~PlatformBackend() = default;

std::optional<StoredConfiguration> PlatformBackend::readStored(Reason &reason)
{
    StoredConfigurationReader reader(this->state->store);
    std::optional<StoredConfiguration> stored;
    reader.read([&](auto read, Reason why) {
        stored = std::move(read);
        reason = std::move(why);
        this->state->loop.stop();
    });
    this->state->loop.run();
    return stored;
}

ApplyResult PlatformBackend::apply(const settings::Configuration &wanted,
                                   const ChangeRecord &change)
{
    ConfigurationApplier applier(this->state->store);
    ApplyResult result;
    applier.apply(wanted, change, [&](ApplyResult done) {
        result = std::move(done);
        this->state->loop.stop();
    });
    this->state->loop.run();
    return result;
}

std::optional<std::vector<VmAddress>> PlatformBackend::vms(Reason &reason)
{
    std::optional<store::StoredValue> list;
    this->state->store.get(std::string(store::kVmListKey), [&](auto value, auto, Reason why) {
        list = std::move(value);
        reason = std::move(why);
        this->state->loop.stop();
    });
    this->state->loop.run();
    if (!list) {
        return std::nullopt;
    }
    membership::VmListReader reader;
    const auto listed = reader.read(list->value);
    if (!listed) {
        reason = reader.lastReason();
        return std::nullopt;
    }
    std::vector<VmAddress> addresses;
    for (const membership::ListedVm &vm : *listed) {
        addresses.push_back({vm.name, vm.dataCentre, vm.admin});
    }
    return addresses;
}

std::vector<VmAnswer> PlatformBackend::callAll(const std::vector<VmAddress> &vms,
                                               const std::string &method,
                                               const Json::Value &parameters)
{
    std::vector<VmAnswer> answers(vms.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < vms.size(); i = next++) {
            answers[i] = callOne(vms[i], this->state->token, method, parameters);
        }
    };
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < std::min(kParallelCalls, vms.size()); ++i) {
        workers.emplace_back(work);
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    return answers;
}

void PlatformBackend::pause(std::chrono::milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}
}
