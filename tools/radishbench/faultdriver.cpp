#include "radishbench/faultdriver.h"

#include "net/ieventloop.h"
#include "radishbench/cluster.h"
#include "radishbench/configurationeditor.h"
#include "radishbench/configurationwatch.h"
#include "radishbench/departures.h"
#include "radishbench/rollingrestart.h"
#include "radishbench/runrecorder.h"

#include <algorithm>
#include <csignal>

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kReportLag{1000};
constexpr std::chrono::milliseconds kColdAfterOut{4000};

//! VMs that a target names: one VM, or all of a data centre.
std::vector<std::size_t> targetVms(const Cluster &cluster, const std::string &target)
{
    const std::size_t index = cluster.vmIndex(target);
    return index < cluster.deployment().vms.size() ? std::vector<std::size_t>{index}
                                                   : cluster.vmsIn(target);
}
}

FaultDriver::FaultDriver(Cluster &cluster, ConfigurationEditor &editor, ConfigurationWatch &watch,
                         Departures &departures, RollingRestart &rollingRestart,
                         RunRecorder &recorder)
    : cluster(cluster), editor(editor), watch(watch), departures(departures),
      rollingRestart(rollingRestart), recorder(recorder)
{ }

void FaultDriver::schedule(const std::vector<Fault> &faults)
{
    for (const Fault &fault : faults) {
        this->cluster.loop().after(fault.at, [this, fault] {
            this->recorder.note(std::chrono::steady_clock::now(), "fault", fault.text);
            this->begin(fault);
        });
        if (fault.length) {
            this->cluster.loop().after(fault.at + *fault.length, [this, fault] {
                this->recorder.note(std::chrono::steady_clock::now(), "fault-ended", fault.text);
                this->end(fault);
            });
        }
    }
}

void FaultDriver::begin(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::VmKill:
    case FaultKind::VmStop:
    case FaultKind::VmStart:
    case FaultKind::VmPause:
        this->changeVm(fault, this->cluster.vmIndex(fault.target));
        break;
    case FaultKind::RollingRestart:
        this->rollingRestart.begin();
        break;
    case FaultKind::UpstreamDrain:
    case FaultKind::UpstreamUndrain:
        this->drainUpstream(fault.target, fault.kind == FaultKind::UpstreamDrain);
        break;
    case FaultKind::UpstreamCold:
    case FaultKind::UpstreamKill:
    case FaultKind::UpstreamStart:
    case FaultKind::UpstreamShed:
        this->changeUpstream(fault);
        break;
    case FaultKind::DataCentreOut:
    case FaultKind::DataCentreIn:
        this->takeOut(fault.target, fault.kind == FaultKind::DataCentreOut);
        break;
    case FaultKind::ConfigChange:
        this->changeAnything();
        break;
    default:
        this->changeStore(fault, true);
        this->changeNetwork(fault, true);
    }
}

void FaultDriver::end(const Fault &fault)
{
    if (fault.kind == FaultKind::VmPause) {
        const std::size_t index = this->cluster.vmIndex(fault.target);
        this->cluster.processes().signal(index, SIGCONT);
        this->watch.reachable(index, std::chrono::steady_clock::now());
    } else if (fault.kind == FaultKind::UpstreamShed) {
        this->cluster.findUpstream(fault.target)->setShedding(false);
    } else {
        this->changeStore(fault, false);
        this->changeNetwork(fault, false);
    }
}

void FaultDriver::changeVm(const Fault &fault, std::size_t index)
{
    if (fault.kind == FaultKind::VmStart) {
        this->rollingRestart.startWhenEnded(index);
        return;
    }
    if (fault.kind == FaultKind::VmStop) {
        this->rollingRestart.stop(index);
        return;
    }
    this->watch.unreachable(index);
    if (fault.kind == FaultKind::VmPause) {
        this->cluster.processes().signal(index, SIGSTOP);
        return;
    }
    this->cluster.processes().signal(index, SIGKILL);
    this->cluster.platformList().vmGone(index);
}

void FaultDriver::changeUpstream(const Fault &fault)
{
    standins::UpstreamStandin &host = *this->cluster.findUpstream(fault.target);
    switch (fault.kind) {
    case FaultKind::UpstreamCold:
        host.turnCold(kReportLag);
        break;
    case FaultKind::UpstreamKill:
        host.kill();
        this->departures.upstreamKilled(fault.target, std::chrono::steady_clock::now());
        break;
    case FaultKind::UpstreamStart:
        if (!host.isRunning() && !host.start()) {
            this->recorder.note(std::chrono::steady_clock::now(), "not-started", fault.target);
        }
        break;
    default:
        host.setShedding(true);
    }
}

void FaultDriver::changeStore(const Fault &fault, bool begins)
{
    standins::StoreStandin &store = this->cluster.store();
    switch (fault.kind) {
    case FaultKind::StoreDown:
        store.setDown(begins);
        this->editor.setStoreDown(begins);
        break;
    case FaultKind::StoreSlow:
        store.setDelay(begins ? fault.delay : std::chrono::milliseconds(0));
        break;
    case FaultKind::StoreLoseAnswers:
        store.setLoseAnswers(begins);
        break;
    case FaultKind::PlatformCut:
        for (const std::size_t index : targetVms(this->cluster, fault.target)) {
            const std::uint32_t address = this->cluster.deployment().vms[index].data.address;
            if (begins) {
                store.refuseFrom(address);
            } else {
                store.acceptFrom(address);
            }
        }
        break;
    default:
        break;
    }
}

void FaultDriver::changeNetwork(const Fault &fault, bool begins)
{
    standins::FabricStandin::Disturbance &disturbance = this->cluster.fabric().disturbance();
    const double share = begins ? fault.share : 0;
    switch (fault.kind) {
    case FaultKind::Partition: {
        const DataCentreName one(fault.target);
        const DataCentreName other(fault.otherTarget);
        if (begins) {
            this->cluster.network().cut(one, other);
        } else {
            this->cluster.network().heal(one, other);
        }
        break;
    }
    case FaultKind::PacketLoss:
        disturbance.loss = share;
        break;
    case FaultKind::PacketDuplicate:
        disturbance.duplicate = share;
        break;
    case FaultKind::PacketReorder:
        disturbance.reorder = share;
        break;
    default:
        break;
    }
}

void FaultDriver::drainUpstream(const std::string &upstream, bool drain)
{
    const auto edit = [&upstream, drain](settings::Configuration &configuration) {
        for (settings::Service &service : configuration.services) {
            for (settings::Upstream &each : service.upstreams) {
                each.drain = each.name.str() == upstream ? drain : each.drain;
            }
        }
    };
    this->editor.change(edit, [this, upstream, drain](std::uint64_t, auto at) {
        if (drain) {
            this->departures.upstreamLeft(upstream, at);
        } else {
            this->departures.upstreamReturned(upstream);
        }
    });
}

void FaultDriver::takeOut(const std::string &dataCentre, bool out)
{
    const auto edit = [&dataCentre, out](settings::Configuration &configuration) {
        const auto found = std::ranges::find(configuration.dataCentres, DataCentreName(dataCentre),
                                             &settings::DataCentre::name);
        found->out = out;
    };
    this->editor.change(edit, [this, dataCentre, out](std::uint64_t, auto at) {
        if (!out) {
            this->departures.dataCentreReturned(dataCentre);
            return;
        }
        this->departures.dataCentreLeft(dataCentre, at);
        this->cluster.loop().after(kColdAfterOut,
                                   [this, dataCentre] { this->coolDown(dataCentre); });
    });
}

void FaultDriver::coolDown(const std::string &dataCentre)
{
    if (!this->departures.isOut(dataCentre)) {
        return;
    }
    for (const auto &host : this->cluster.upstreams()) {
        if (host->description().dataCentre.str() == dataCentre) {
            host->turnCold(std::chrono::milliseconds(0));
        }
    }
}

void FaultDriver::changeAnything()
{
    // A change that alters no placement: what is measured is that it comes into force.
    const auto edit = [](settings::Configuration &configuration) {
        configuration.services.front().requestTimeout += std::chrono::milliseconds(1);
    };
    this->editor.change(edit, [](std::uint64_t, auto) {});
}
}
