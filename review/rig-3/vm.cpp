#include "vm.h"

#include <fcntl.h>
#include <json/json.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <utility>

namespace radishladder::review {
namespace {
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kRelayPort = 8166;
constexpr std::uint16_t kOperationsPort = 7720;
constexpr std::uint16_t kPeersPort = 7735;
constexpr const char *kDefaultSettings = "/etc/radishladder/settings.yaml";
}

Vm::Vm(Settings settings, std::vector<std::string> command, std::string folder)
    : settings(std::move(settings)), command(std::move(command)), folder(std::move(folder))
{ }

Vm::~Vm()
{
    if (this->process > 0) {
        this->kill(SIGKILL);
        this->wait();
    }
}

Endpoint Vm::readiness() const
{
    return {this->settings.address, kReadinessPort};
}

Endpoint Vm::relayOf(std::uint32_t address)
{
    return {address, kRelayPort};
}

std::string Vm::settingsPath() const
{
    return this->folder + "/" + this->settings.name + ".json";
}

void Vm::writeSettings() const
{
    // The fields of platform/settings.json.in with the figures of a small deployment.
    const std::uint32_t address = this->settings.address;
    Json::Value json;
    json["name"] = this->settings.name;
    json["dataCentre"] = this->settings.zone;
    json["packets"] = endpointText(this->packets());
    json["readiness"] = endpointText(this->readiness());
    json["operations"] = endpointText({address, kOperationsPort});
    json["relay"] = endpointText(relayOf(address));
    json["peers"] = endpointText({address, kPeersPort});
    json["seeds"] = Json::arrayValue;
    for (const Endpoint &seed : this->settings.seeds) {
        json["seeds"].append(endpointText(seed));
    }
    json["firstStart"] = this->settings.isFirstStart;
    json["store"] = endpointText(this->settings.store);
    Json::Value &limits = json["limits"];
    limits["drainMs"] = 3000;
    limits["configurationMs"] = 3000;
    limits["evacuationMs"] = 5000;
    limits["storeRecoveryMs"] = 4000;
    limits["flowMaxSeconds"] = 60;
    limits["stopSeconds"] = 6;
    limits["warmupOverage"] = 1.5;
    limits["warmupSlack"] = 5;
    limits["linkMbps"] = 1000.0;
    limits["memoryMb"] = 260;
    std::ofstream(this->settingsPath()) << json;
}

void Vm::start()
{
    this->writeSettings();
    std::vector<std::string> words = this->command;
    for (std::string &word : words) {
        word = word == kDefaultSettings ? this->settingsPath() : word;
    }
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string logPath = this->folder + "/" + this->settings.name + ".log";
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
    this->settings.isFirstStart = false;
    this->isStopping = false;
}

void Vm::kill(int signal)
{
    this->isStopping = true;
    if (this->process > 0) {
        ::kill(this->process, signal);
    }
}

void Vm::wait()
{
    if (this->process > 0) {
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

bool Vm::hasStopped()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process < 0;
}

bool Vm::hasEnded()
{
    return !this->isStopping && this->hasStopped();
}
}
