#include "radishbench/vmprocesses.h"

#include "settings/jsonfile.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kEndCheck{20};

const char *flowMechanismText(settings::FlowMechanism mechanism)
{
    switch (mechanism) {
    case settings::FlowMechanism::Hash:
        return "hash";
    case settings::FlowMechanism::HashCache:
        return "hash-cache";
    case settings::FlowMechanism::Home:
        return "home";
    case settings::FlowMechanism::Epochs:
        break;
    }
    return "epochs";
}

const char *requestMechanismText(settings::RequestMechanism mechanism)
{
    switch (mechanism) {
    case settings::RequestMechanism::LeastConnections:
        return "least-connections";
    case settings::RequestMechanism::RoundRobin:
        return "round-robin";
    case settings::RequestMechanism::Shared:
        break;
    }
    return "shared";
}

Json::Value vmJson(const settings::VmSettings &vm)
{
    Json::Value json(Json::objectValue);
    json["name"] = vm.name.str();
    json["dataCentre"] = vm.dataCentre.str();
    json["data"] = net::endpointText(vm.data);
    json["peer"] = net::endpointText(vm.peer);
    json["requests"] = net::endpointText(vm.requests);
    json["admin"] = net::endpointText(vm.admin);
    for (const net::Endpoint &gateway : vm.platform) {
        json["platform"].append(net::endpointText(gateway));
    }
    for (const std::string &key : vm.peerKeys) {
        json["peerKeys"].append(key);
    }
    json["adminToken"] = vm.adminToken;
    json["flowMechanism"] = flowMechanismText(vm.flowMechanism);
    json["requestMechanism"] = requestMechanismText(vm.requestMechanism);
    return json;
}

//! Standard error goes to \a log; signals that this program blocks are open to the daemon.
class SpawnSetup
{
public:
    explicit SpawnSetup(const std::string &log)
    {
        posix_spawn_file_actions_init(&this->actions);
        posix_spawn_file_actions_addopen(&this->actions, STDERR_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        // The result goes to standard output, so nothing of the daemons may.
        posix_spawn_file_actions_adddup2(&this->actions, STDERR_FILENO, STDOUT_FILENO);
        posix_spawnattr_init(&this->attributes);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&this->attributes, &none);
        posix_spawnattr_setflags(&this->attributes, POSIX_SPAWN_SETSIGMASK);
    }

    ~SpawnSetup()
    {
        posix_spawn_file_actions_destroy(&this->actions);
        posix_spawnattr_destroy(&this->attributes);
    }

    SpawnSetup(const SpawnSetup &) = delete;
    SpawnSetup &operator=(const SpawnSetup &) = delete;

    posix_spawn_file_actions_t actions{};
    posix_spawnattr_t attributes{};
};
}

VmProcesses::VmProcesses(std::string program, std::vector<settings::VmSettings> vms,
                         const std::string &logDirectory)
    : program(std::move(program)), vms(std::move(vms)), logDirectory(logDirectory),
      processes(this->vms.size(), 0)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "radishbench-XXXXXX").string();
    this->directory = ::mkdtemp(pattern.data());
    if (this->logDirectory.empty()) {
        this->logDirectory = this->directory;
    }
    std::error_code ignored;
    std::filesystem::create_directories(this->logDirectory, ignored);
}

VmProcesses::~VmProcesses()
{
    this->endAll(std::chrono::milliseconds(0));
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

bool VmProcesses::start(std::size_t index)
{
    const settings::VmSettings &vm = this->vms[index];
    const std::string file = this->directory + "/" + vm.name.str() + ".json";
    std::ofstream(file) << settings::jsonText(vmJson(vm));
    const SpawnSetup setup(this->logDirectory + "/" + vm.name.str() + ".log");
    std::string option = "--settings=" + file;
    char *arguments[] = {this->program.data(), option.data(), nullptr};
    return ::posix_spawn(&this->processes[index], this->program.c_str(), &setup.actions,
                         &setup.attributes, arguments, environ)
        == 0;
}

void VmProcesses::signal(std::size_t index, int number)
{
    if (this->processes[index] > 0) {
        ::kill(this->processes[index], number);
    }
}

bool VmProcesses::hasEnded(std::size_t index)
{
    pid_t &process = this->processes[index];
    if (process > 0 && ::waitpid(process, nullptr, WNOHANG) == process) {
        process = 0;
    }
    return process <= 0;
}

void VmProcesses::endAll(std::chrono::milliseconds patience)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    bool isAsked = false;
    for (bool allEnded = false; !allEnded;) {
        const bool isLate = std::chrono::steady_clock::now() >= deadline;
        allEnded = true;
        for (std::size_t i = 0; i < this->processes.size(); ++i) {
            if (this->hasEnded(i)) {
                continue;
            }
            allEnded = false;
            if (isLate) {
                this->signal(i, SIGKILL);
            } else if (!isAsked) {
                this->signal(i, SIGCONT);
                this->signal(i, SIGTERM);
            }
        }
        isAsked = true;
        if (!allEnded) {
            std::this_thread::sleep_for(kEndCheck);
        }
    }
}
}
