#include "radishbench/configurationwatch.h"

#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "settings/jsonfile.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kFullPollPeriod{1000};
constexpr std::chrono::milliseconds kAskTimeout{1000};
constexpr std::uint64_t kFirstGeneration = 1;
const std::string kGauge = "\nradishladder_configuration_generation ";

double seconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
}

std::optional<std::uint64_t> parseGeneration(const std::string &body)
{
    if (body.starts_with("{")) {
        Reason reason;
        const auto json = settings::parseJson(body, "status", reason);
        const bool isKnown = json && json->isObject() && (*json)["generation"].isUInt64();
        return isKnown ? std::make_optional((*json)["generation"].asUInt64()) : std::nullopt;
    }
    const auto place = body.find(kGauge);
    if (place == std::string::npos) {
        return std::nullopt;
    }
    double value = 0;
    const char *first = body.data() + place + kGauge.size();
    const auto parsed = std::from_chars(first, body.data() + body.size(), value);
    const bool isNumber = parsed.ec == std::errc() && value >= 0;
    return isNumber ? std::make_optional(static_cast<std::uint64_t>(value)) : std::nullopt;
}

ConfigurationWatch::ConfigurationWatch(net::IHttpClient &client, std::vector<net::Endpoint> admins)
    : client(client), vms(admins.size())
{
    for (std::size_t i = 0; i < admins.size(); ++i) {
        this->vms[i].admin = admins[i];
    }
}

void ConfigurationWatch::accepted(std::uint64_t generation, TimePoint at)
{
    this->changes[generation] = at;
}

void ConfigurationWatch::reachable(std::size_t vm, TimePoint at)
{
    this->vms[vm].isReachable = true;
    this->vms[vm].since = at;
}

void ConfigurationWatch::unreachable(std::size_t vm)
{
    this->vms[vm].isReachable = false;
}

void ConfigurationWatch::restarted(std::size_t vm, TimePoint at)
{
    ++this->vms[vm].incarnation;
    this->vms[vm].leastGeneration = this->inForceEverywhere();
    this->vms[vm].generation = 0;
    this->reachable(vm, at);
}

void ConfigurationWatch::poll(TimePoint now)
{
    const bool isFull = this->lastFullPoll + kFullPollPeriod <= now;
    if (isFull) {
        this->lastFullPoll = now;
    }
    const std::uint64_t newest = this->changes.empty() ? 0 : this->changes.rbegin()->first;
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        const Vm &vm = this->vms[i];
        if (vm.isReachable && !vm.isAsking && (isFull || vm.generation < newest)) {
            this->ask(i);
        }
    }
}

void ConfigurationWatch::ask(std::size_t index)
{
    Vm &vm = this->vms[index];
    vm.isAsking = true;
    net::HttpCall call{.url = "http://" + net::endpointText(vm.admin) + "/status",
                       .timeout = kAskTimeout};
    const std::uint64_t incarnation = vm.incarnation;
    this->client.send(std::move(call), [this, index, incarnation](const net::HttpResult &result) {
        Vm &asked = this->vms[index];
        asked.isAsking = false;
        // What a process said before it was replaced is not held against the new one.
        if (result.reason.code != ResultCode::Ok || incarnation != asked.incarnation) {
            return;
        }
        if (const auto generation = parseGeneration(result.answer.body)) {
            this->report(index, *generation, std::chrono::steady_clock::now());
        }
    });
}

void ConfigurationWatch::report(std::size_t index, std::uint64_t generation, TimePoint now)
{
    Vm &vm = this->vms[index];
    if (generation == 0) {
        return;
    }
    if (generation < std::max(vm.generation, vm.leastGeneration)) {
        ++this->revertedCount;
    }
    for (const auto &[changed, at] : this->changes) {
        if (changed > vm.generation && changed <= generation) {
            this->longestSeconds = std::max(this->longestSeconds, this->waited(vm, changed, now));
        }
    }
    vm.generation = generation;
}

std::optional<double> ConfigurationWatch::secondsToConfig(TimePoint now) const
{
    if (this->changes.empty()) {
        return std::nullopt;
    }
    double longest = this->longestSeconds;
    for (const Vm &vm : this->vms) {
        for (const auto &[changed, at] : this->changes) {
            if (vm.isReachable && changed > vm.generation) {
                longest = std::max(longest, this->waited(vm, changed, now));
            }
        }
    }
    return longest;
}

bool ConfigurationWatch::isSettled() const
{
    if (this->changes.empty()) {
        return true;
    }
    const std::uint64_t newest = this->changes.rbegin()->first;
    return std::ranges::all_of(
        this->vms, [newest](const Vm &vm) { return !vm.isReachable || vm.generation >= newest; });
}

std::uint64_t ConfigurationWatch::inForceEverywhere() const
{
    std::uint64_t least = this->changes.empty() ? kFirstGeneration : this->changes.rbegin()->first;
    for (const Vm &vm : this->vms) {
        if (vm.isReachable) {
            least = std::min(least, vm.generation);
        }
    }
    return least;
}

double ConfigurationWatch::waited(const Vm &vm, std::uint64_t generation, TimePoint now) const
{
    const TimePoint from = std::max(this->changes.at(generation), vm.since);
    return std::max(0.0, seconds(now - from));
}
}
