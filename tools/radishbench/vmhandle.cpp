#include "radishbench/vmhandle.h"

#include "net/libeventhttpconnection.h"
#include "net/libeventloop.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "radishbench/addresses.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kProbeTimeout{400};
}

VmHandle::VmHandle(net::LibeventLoop &loop, const Addresses &addresses, std::string program,
                   std::string directory, std::string dataCentre, int dataCentreNumber, int number,
                   net::Endpoint store)
    : loop(loop), addresses(addresses), program(std::move(program)),
      directory(std::move(directory)), ownName(dataCentre + "-" + std::to_string(number)),
      ownDataCentre(std::move(dataCentre)), dataCentreNumber(dataCentreNumber), number(number),
      store(store)
{ }

VmHandle::~VmHandle()
{
    this->kill();
}

net::Endpoint VmHandle::packetEndpoint() const
{
    return this->addresses.vm(this->dataCentreNumber, this->number, Addresses::kPackets);
}

net::Endpoint VmHandle::operationsEndpoint() const
{
    return this->addresses.vm(this->dataCentreNumber, this->number, Addresses::kOperations);
}

void VmHandle::writeSettings() const
{
    const auto at = [this](std::uint16_t port) {
        return net::endpointText(this->addresses.vm(this->dataCentreNumber, this->number, port));
    };
    const auto seedAt = [this](int seed) {
        return net::endpointText(
            this->addresses.vm(this->dataCentreNumber, seed, Addresses::kRelay));
    };
    std::ofstream(this->directory + "/" + this->ownName + ".json")
        << "{\"name\": \"" << this->ownName << "\", \"dataCentre\": \"" << this->ownDataCentre
        << "\", \"packets\": \"" << at(Addresses::kPackets) << "\", \"readiness\": \""
        << at(Addresses::kReadiness) << "\", \"operations\": \"" << at(Addresses::kOperations)
        << "\", \"relay\": \"" << at(Addresses::kRelay) << "\", \"seeds\": [\"" << seedAt(0)
        << "\", \"" << seedAt(1) << "\"], \"store\": \"" << net::endpointText(this->store)
        << "\", \"limits\": {\"drainMs\": 3000}}\n";
}

void VmHandle::start()
{
    this->writeSettings();
    const std::string settings = "--settings=" + this->directory + "/" + this->ownName + ".json";
    const std::string log = this->directory + "/" + this->ownName + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::array<char *, 3> arguments{const_cast<char *>(this->program.c_str()),
                                    const_cast<char *>(settings.c_str()), nullptr};
    if (::posix_spawn(&this->process, this->program.c_str(), &actions, nullptr, arguments.data(),
                      environ)
        != 0) {
        this->process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

void VmHandle::signal(int signalNumber)
{
    if (this->process > 0) {
        ::kill(this->process, signalNumber);
    }
}

bool VmHandle::hasEnded()
{
    if (this->process <= 0) {
        return true;
    }
    if (::waitpid(this->process, nullptr, WNOHANG) != this->process) {
        return false;
    }
    this->process = -1;
    return true;
}

void VmHandle::kill()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

void VmHandle::probe()
{
    if (this->isProbing) {
        return;
    }
    this->isProbing = true;
    if (!this->connection) {
        this->connection = std::make_unique<net::LibeventHttpConnection>(
            this->loop,
            this->addresses.vm(this->dataCentreNumber, this->number, Addresses::kReadiness));
    }
    this->connection->send(
        {.path = "/", .timeout = kProbeTimeout}, [this](const net::HttpResult &result) {
            this->isProbing = false;
            this->missedProbes = result.status == 200 ? 0 : this->missedProbes + 1;
        });
}

std::string VmHandle::statusField(const std::string &field) const
{
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":")) {
            return line.substr(field.size() + 1);
        }
    }
    return "0";
}

long VmHandle::residentKb() const
{
    return std::stol(this->statusField("VmRSS"));
}

long VmHandle::threads() const
{
    return std::stol(this->statusField("Threads"));
}

std::chrono::milliseconds VmHandle::processorTime() const
{
    std::ifstream stat("/proc/" + std::to_string(this->process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string field;
    long ticks = 0;
    for (int i = 0; fields >> field; ++i) {
        // User time and system time, counted from the field after the command name.
        if (i == 11 || i == 12) {
            ticks += std::stol(field);
        }
    }
    return std::chrono::milliseconds(ticks * 1000 / ::sysconf(_SC_CLK_TCK));
}
}
