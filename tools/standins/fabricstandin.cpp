#include "standins/fabricstandin.h"

#include "global/irandom.h"
#include "net/batchsocket.h"
#include "settings/types/vmsettings.h"

#include <algorithm>
#include <numeric>

namespace radishladder::standins {
namespace {
constexpr std::chrono::milliseconds kReorderDelay{8};
constexpr double kRandomRange = 18446744073709551616.0;
}

FabricStandin::FabricStandin(const net::Endpoint &local, std::vector<settings::VmSettings> vms,
                             std::chrono::microseconds delay, IRandom &random,
                             net::IEventLoop &loop)
    : local(local), vms(std::move(vms)), listed(this->vms.size()), delay(delay), random(random),
      line(loop)
{
    std::iota(this->listed.begin(), this->listed.end(), 0);
}

FabricStandin::~FabricStandin() = default;

bool FabricStandin::start()
{
    Reason reason;
    this->socket = net::BatchSocket::open(this->local, reason);
    return this->socket != nullptr;
}

void FabricStandin::deliver(std::span<const std::uint8_t> packet)
{
    if (this->happens(this->disturbed.loss)) {
        return;
    }
    const int copies = this->happens(this->disturbed.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        this->send(packet);
    }
}

void FabricStandin::flush()
{
    this->socket->flush();
}

net::Endpoint FabricStandin::requestEndpoint()
{
    return this->anyVm().requests;
}

void FabricStandin::setListed(std::size_t index, bool isListed)
{
    std::erase(this->listed, index);
    if (isListed) {
        this->listed.push_back(index);
        std::ranges::sort(this->listed);
    }
}

bool FabricStandin::happens(double share)
{
    return share > 0 && static_cast<double>(this->random.next()) / kRandomRange < share;
}

void FabricStandin::send(std::span<const std::uint8_t> packet)
{
    const net::Endpoint to = this->anyVm().data;
    const bool isLate = this->happens(this->disturbed.reorder);
    const std::chrono::microseconds wait =
        this->delay + (isLate ? kReorderDelay : kReorderDelay * 0);
    if (wait.count() == 0) {
        this->socket->send(packet, to);
        return;
    }
    this->line.later(wait, [this, to, copy = std::vector(packet.begin(), packet.end())] {
        this->socket->send(copy, to);
    });
}

const settings::VmSettings &FabricStandin::anyVm()
{
    // An empty list still has to name some VM: the packet is lost there.
    if (this->listed.empty()) {
        return this->vms.front();
    }
    return this->vms[this->listed[this->random.next() % this->listed.size()]];
}
}
