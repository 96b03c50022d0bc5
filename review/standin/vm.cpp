#include "vm.h"

#include "record.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {
constexpr Milliseconds kProbeInterval{500};
constexpr Milliseconds kProbeTimeout{400};
constexpr Milliseconds kGrace{6000};
constexpr Milliseconds kExitCheck{50};
constexpr Milliseconds kRestartDelay{2500};
constexpr std::string_view kProbeRequest =
    "GET /radishladder/readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
}

Vm::Vm(Loop &loop, Record &record, Settings settings)
    : loop(loop), record(record), settings(std::move(settings))
{ }

Vm::~Vm()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

void Vm::writeSettings(bool isFirstStart) const
{
    const auto at = [this](std::uint16_t port) {
        return endpointText({this->settings.address, port});
    };
    std::string seeds;
    for (const std::uint32_t seed : this->settings.seeds) {
        seeds +=
            (seeds.empty() ? "\"" : ", \"") + endpointText({seed, this->settings.relay}) + "\"";
    }
    // As platform/settings.json.in is filled in for a small deployment.
    std::ofstream(this->settings.directory + "/" + this->settings.name + ".json")
        << "{\"name\": \"" << this->settings.name << "\", \"dataCentre\": \"" << this->settings.zone
        << "\", \"packets\": \"" << at(this->settings.packets) << "\", \"readiness\": \""
        << at(this->settings.readiness) << "\", \"operations\": \"" << at(this->settings.operations)
        << "\", \"relay\": \"" << at(this->settings.relay) << "\", \"seeds\": [" << seeds
        << "], \"firstStart\": " << (isFirstStart ? "true" : "false") << ", \"store\": \""
        << endpointText(this->settings.store)
        << "\", \"limits\": { \"drainMs\": 3000, \"configurationMs\": 3000, \"evacuationMs\": "
           "5000, "
           "\"flowMaxSeconds\": 60, \"stopSeconds\": 6, \"warmupOverage\": 1.5, \"warmupSlack\": "
           "5, "
           "\"linkMbps\": 1000.0, \"memoryMb\": 260 }}\n";
}

void Vm::start(bool isFirstStart)
{
    this->writeSettings(isFirstStart);
    const std::string file = this->settings.directory + "/" + this->settings.name;
    std::string option = "--settings";
    std::string path = file + ".json";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (file + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::array<char *, 4> arguments{this->settings.program.data(), option.data(), path.data(),
                                    nullptr};
    if (::posix_spawn(&this->process, this->settings.program.c_str(), &actions, nullptr,
                      arguments.data(), environ)
        != 0) {
        this->process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    this->record.write(this->settings.name + " is started");
}

void Vm::restart()
{
    this->record.write(this->settings.name + " gets SIGTERM");
    ::kill(this->process, SIGTERM);
    this->startAfterExit(Clock::now() + kGrace);
}

void Vm::startAfterExit(Time killAt)
{
    if (::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
        this->record.write(this->settings.name + " has ended");
        this->loop.after(kRestartDelay, [this]() { this->start(false); });
        return;
    }
    if (Clock::now() >= killAt) {
        ::kill(this->process, SIGKILL);
    }
    this->loop.after(kExitCheck, [this, killAt]() { this->startAfterExit(killAt); });
}

void Vm::startProbes()
{
    this->probe();
    this->nextProbeAt = Clock::now() + kProbeInterval;
    this->loop.after(kProbeInterval, [this]() { this->startProbes(); });
}

void Vm::probe()
{
    this->probeSocket = connectTcp({this->settings.address, this->settings.readiness});
    const std::uint64_t number = ++this->probes;
    // The connection is established at once on loopback, or refused.
    ::send(this->probeSocket, kProbeRequest.data(), kProbeRequest.size(), MSG_NOSIGNAL);
    this->loop.watch(this->probeSocket, [this]() {
        std::array<char, 512> answer{};
        const auto size = ::recv(this->probeSocket, answer.data(), answer.size(), 0);
        const std::string_view text(answer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        this->endProbe(text.find(" 200 ") != std::string_view::npos);
    });
    this->loop.after(kProbeTimeout, [this, number]() {
        if (this->probeSocket >= 0 && this->probes == number) {
            this->endProbe(false);
        }
    });
}

void Vm::endProbe(bool isOk)
{
    this->loop.unwatch(this->probeSocket);
    ::close(this->probeSocket);
    this->probeSocket = -1;
    const bool wasInRotation = this->isInRotation();
    this->misses = isOk ? 0 : this->misses + 1;
    if (wasInRotation != this->isInRotation()) {
        this->record.write(this->settings.name + (wasInRotation ? " leaves" : " enters")
                           + " the rotation");
    }
}
}
