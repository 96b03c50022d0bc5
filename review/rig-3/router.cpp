#include "router.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace radishladder::review {
namespace {
using Duration = EventLoop::Duration;

constexpr Duration kProbeInterval{500};
constexpr Duration kProbeTimeout{450};
constexpr int kMissesUntilWithdrawn = 2;

std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t packed(const Endpoint &endpoint)
{
    return std::uint64_t{endpoint.address} << 16U | endpoint.port;
}
}

void Router::start()
{
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
        this->beginProbe(index);
    }
    this->loop.after(kProbeInterval, [this]() { this->start(); });
}

void Router::beginProbe(std::size_t index)
{
    State &vm = this->vms[index];
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    vm.probe = descriptor;
    const sockaddr_in address = toSocketAddress(vm.target.readiness);
    static_cast<void>(
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    const std::string request = "GET /radishladder/readyz HTTP/1.1\r\nHost: "
        + endpointText(vm.target.readiness) + "\r\nConnection: close\r\n\r\n";
    // On loopback the connection is established at once if the VM listens.
    if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        this->endProbe(index, false);
        return;
    }
    this->loop.watch(descriptor, [this, index]() { this->onProbeReadable(index); });
    this->loop.after(kProbeTimeout, [this, index, descriptor]() {
        if (this->vms[index].probe == descriptor) {
            this->endProbe(index, false);
        }
    });
}

void Router::onProbeReadable(std::size_t index)
{
    std::array<char, 1024> bytes;
    const auto size = ::recv(this->vms[index].probe, bytes.data(), bytes.size(), 0);
    const std::string_view text(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    this->endProbe(index, text.starts_with("HTTP/1.1 200"));
}

void Router::endProbe(std::size_t index, bool isReady)
{
    State &vm = this->vms[index];
    this->loop.unwatch(vm.probe);
    ::close(std::exchange(vm.probe, -1));
    vm.misses = isReady ? 0 : vm.misses + 1;
    if (isReady) {
        vm.isInRotation = true;
    } else if (vm.misses >= kMissesUntilWithdrawn) {
        vm.isInRotation = false;
    }
}

bool Router::areAllReady() const
{
    return std::ranges::all_of(this->vms, &State::isInRotation);
}

std::vector<std::size_t> Router::candidatesFor(const std::string &zone) const
{
    std::vector<std::size_t> ofZone;
    std::vector<std::size_t> inRotation;
    std::vector<std::size_t> elsewhere;
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
        const State &vm = this->vms[index];
        if (vm.target.zone != zone) {
            if (vm.isInRotation) {
                elsewhere.push_back(index);
            }
            continue;
        }
        ofZone.push_back(index);
        if (vm.isInRotation) {
            inRotation.push_back(index);
        }
    }
    if (inRotation.empty() && !elsewhere.empty()) {
        return elsewhere;
    }
    return inRotation.size() * 2 < ofZone.size() ? ofZone : inRotation;
}

std::size_t Router::targetOf(const FlowKey &flow, const std::string &zone) const
{
    const std::uint64_t hash = mix(packed(flow.first) ^ mix(packed(flow.second)));
    const auto candidates = this->candidatesFor(zone);
    return *std::ranges::max_element(candidates, {}, [this, hash](std::size_t index) {
        return mix(hash ^ mix(packed(this->vms[index].target.packets)));
    });
}

void Router::forward(const Packet &packet, const std::string &zone)
{
    const std::size_t index = this->targetOf({packet.source, packet.target}, zone);
    const auto bytes = encodePacket(packet);
    const sockaddr_in address = toSocketAddress(this->vms[index].target.packets);
    ::sendto(this->socket, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr *>(&address), sizeof address);
}
}
