#include "radishbench/vmmeter.h"

#include "radishbench/cluster.h"
#include "radishbench/processusage.h"

#include <algorithm>

namespace radishladder::radishbench {
namespace {
double secondsBetween(VmMeter::TimePoint from, VmMeter::TimePoint until)
{
    return std::chrono::duration<double>(until - from).count();
}
}

void VmMeter::begin(TimePoint now)
{
    this->began = now;
    this->timeAtBegin.clear();
    for (std::size_t i = 0; i < this->cluster.deployment().vms.size(); ++i) {
        const pid_t process = this->cluster.processes().process(i);
        if (const auto time = processorTime(process); process > 0 && time) {
            this->timeAtBegin[process] = *time;
        }
        const VmName &name = this->cluster.deployment().vms[i].name;
        this->bytesAtBegin[i] = this->cluster.link().peerBytesFrom(name);
        this->datagramsAtBegin[i] = this->cluster.link().peerDatagramsFrom(name);
    }
}

void VmMeter::sample()
{
    for (std::size_t i = 0; i < this->cluster.deployment().vms.size(); ++i) {
        const pid_t process = this->cluster.processes().process(i);
        if (process > 0) {
            const auto megabytes = residentMegabytes(process);
            this->largest = std::max(this->largest, megabytes);
        }
    }
}

std::optional<double> VmMeter::cpuCorePercent(TimePoint now) const
{
    std::optional<double> busiest;
    const double seconds = secondsBetween(this->began, now);
    for (const auto &[process, before] : this->timeAtBegin) {
        const auto time = processorTime(process);
        if (time && seconds > 0) {
            const double used = std::chrono::duration<double>(*time - before).count();
            busiest = std::max(busiest.value_or(0), 100 * used / seconds);
        }
    }
    return busiest;
}

std::optional<double> VmMeter::controlBytesPerSecond(TimePoint now) const
{
    return this->mostPerSecond(&standins::LinkStandin::peerBytesFrom, this->bytesAtBegin, now);
}

std::optional<double> VmMeter::controlDatagramsPerSecond(TimePoint now) const
{
    return this->mostPerSecond(&standins::LinkStandin::peerDatagramsFrom, this->datagramsAtBegin,
                               now);
}

std::optional<double> VmMeter::mostPerSecond(Counter counter,
                                             const std::map<std::size_t, std::uint64_t> &atBegin,
                                             TimePoint now) const
{
    std::uint64_t most = 0;
    for (const auto &[index, before] : atBegin) {
        const VmName &name = this->cluster.deployment().vms[index].name;
        most = std::max(most, (this->cluster.link().*counter)(name)-before);
    }
    const double seconds = secondsBetween(this->began, now);
    return most > 0 && seconds > 0 ? std::make_optional(static_cast<double>(most) / seconds)
                                   : std::nullopt;
}
}
