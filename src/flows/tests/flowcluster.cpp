#include "flows/tests/flowcluster.h"

#include <cstring>

namespace radishladder::flows {
namespace {
constexpr std::uint32_t kServiceAddress = 0x7fc80001;
constexpr std::uint32_t kVmAddress = 0x7f0b0100;
constexpr std::uint16_t kDataPort = 9000;
constexpr std::chrono::milliseconds kStep{100};

settings::Configuration testConfiguration()
{
    settings::Configuration configuration;
    configuration.generation = 1;
    configuration.dataCentres = {{DataCentreName("obuda")}, {DataCentreName("ujpest")}};
    settings::Service board;
    board.name = ServiceName("board");
    board.address = {kServiceAddress, 443};
    settings::Service intake = board;
    intake.name = ServiceName("intake");
    intake.address = {kServiceAddress, 444};
    const char *names[] = {"a", "b", "c", "x"};
    for (std::uint32_t i = 0; i < 4; ++i) {
        settings::Upstream upstream;
        upstream.name = UpstreamName(names[i]);
        upstream.dataCentre = DataCentreName(i == 1 ? "ujpest" : "obuda");
        upstream.tunnel = {0x7f0b0201 + i, 6000};
        (i == 3 ? intake : board).upstreams.push_back(upstream);
    }
    configuration.services = {board, intake};
    return configuration;
}
}

std::vector<std::uint8_t> testPacket(const FlowKey &key, Segment segment)
{
    const bool isTcp = key.protocol == 6;
    std::vector<std::uint8_t> packet(isTcp ? 40 : 28, 0);
    const auto put16 = [&packet](std::size_t at, std::uint16_t value) {
        packet[at] = static_cast<std::uint8_t>(value >> 8);
        packet[at + 1] = static_cast<std::uint8_t>(value);
    };
    packet[0] = 0x45;
    put16(2, static_cast<std::uint16_t>(packet.size()));
    packet[8] = 64;
    packet[9] = key.protocol;
    put16(12, static_cast<std::uint16_t>(key.caller.address >> 16));
    put16(14, static_cast<std::uint16_t>(key.caller.address));
    put16(16, static_cast<std::uint16_t>(key.service.address >> 16));
    put16(18, static_cast<std::uint16_t>(key.service.address));
    put16(20, key.caller.port);
    put16(22, key.service.port);
    if (isTcp) {
        packet[32] = 0x50;
        packet[33] = static_cast<std::uint8_t>(segment);
    }
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < 20; i += 2) {
        sum += static_cast<std::uint32_t>(packet[i] << 8 | packet[i + 1]);
    }
    sum = (sum & 0xffff) + (sum >> 16);
    put16(10, static_cast<std::uint16_t>(~((sum & 0xffff) + (sum >> 16))));
    return packet;
}

TestVm::TestVm(const std::string &vmName, FakeNetwork &network, const ManualClock &clock,
               const FlowOptions &options, const std::string &dataCentre)
    : name(vmName), membership(this->name), transport(network.join(this->name)),
      router({this->placement, this->membership, *this->transport, this->upstreams,
              this->configuration, this->metrics, clock, DataCentreName(dataCentre)},
             options)
{
    const settings::Configuration configuration = testConfiguration();
    this->placement.services = configuration.services;
    for (std::uint32_t service = 0; service < configuration.services.size(); ++service) {
        for (const settings::Upstream &upstream : configuration.services[service].upstreams) {
            placement::UpstreamEntry entry;
            entry.upstream = upstream;
            entry.service = service;
            entry.wireId = 100 + this->placement.entries.size();
            this->placement.entries.push_back(entry);
        }
    }
    this->placement.setViews(0, {.oldest = 0, .current = 0});
    this->placement.setViews(1, {.oldest = 3, .current = 3});
    this->configuration.accept(configuration);
}

FlowCluster::FlowCluster(std::size_t count, FlowOptions options) : options(options)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->start();
    }
    this->join();
    this->run(std::chrono::seconds(70));
}

FlowOptions FlowCluster::smallOptions()
{
    FlowOptions options;
    options.cacheCapacity = 4096;
    options.recordCapacity = 1000;
    return options;
}

TestVm &FlowCluster::start(const std::string &dataCentre)
{
    const std::string name = "vm" + std::to_string(this->vms.size());
    this->vms.push_back(
        std::make_unique<TestVm>(name, this->network, this->clock, this->options, dataCentre));
    const std::size_t last = this->vms.size() - 1;
    this->vm(last).membership.set(this->memberOf(last));
    return this->vm(last);
}

membership::Member FlowCluster::memberOf(std::size_t index) const
{
    membership::Member member;
    member.name = this->vms[index]->name;
    member.data = {kVmAddress + static_cast<std::uint32_t>(index), kDataPort};
    member.lastHeard = this->clock.now();
    return member;
}

void FlowCluster::join()
{
    for (const auto &vm : this->vms) {
        for (std::size_t i = 0; i < this->vms.size(); ++i) {
            if (this->vms[i]->isUp && vm->isUp) {
                vm->membership.set(this->memberOf(i));
            }
        }
    }
}

void FlowCluster::run(std::chrono::milliseconds duration)
{
    for (auto passed = std::chrono::milliseconds(0); passed < duration; passed += kStep) {
        this->clock.advance(kStep);
        for (const auto &vm : this->vms) {
            if (vm->isUp) {
                vm->membership.hear(this->clock.now());
                vm->router.tick(this->clock.now());
            }
        }
        this->network.deliver();
    }
}

std::string FlowCluster::send(std::size_t vm, const FlowKey &key, Segment segment)
{
    return this->sendRaw(vm, testPacket(key, segment));
}

std::string FlowCluster::sendRaw(std::size_t vm, std::vector<std::uint8_t> packet)
{
    PacketSource source = PacketSource::Fabric;
    for (int hop = 0; hop < 4; ++hop) {
        if (!this->vms[vm]->isUp) {
            return "lost";
        }
        const auto verdict = this->vms[vm]->router.route(packet, source, this->clock.now());
        if (verdict.reason != ResultCode::Ok) {
            return std::string(resultCodeName(verdict.reason));
        }
        if (!verdict.relayed) {
            return this->vms[vm]
                ->placement.entries[verdict.to.address - 0x7f0b0201]
                .upstream.name.str();
        }
        const std::size_t next = verdict.to.address - kVmAddress;
        if (this->network.isCut(this->vms[vm]->name, this->vms[next]->name)) {
            return "lost";
        }
        vm = next;
        source = static_cast<PacketSource>(verdict.to.port - kDataPort);
    }
    return "loop";
}

void FlowCluster::setViews(placement::UpstreamIndex oldest, placement::UpstreamIndex current,
                           bool contested, bool settled)
{
    for (const auto &vm : this->vms) {
        vm->placement.setViews(0, {oldest, current, contested, settled});
    }
}

void FlowCluster::kill(std::size_t vm, membership::MemberState state)
{
    this->vms[vm]->isUp = false;
    this->network.remove(this->vms[vm]->name);
    this->setState(vm, state);
}

void FlowCluster::setState(std::size_t vm, membership::MemberState state)
{
    membership::Member member = this->memberOf(vm);
    member.state = state;
    for (const auto &other : this->vms) {
        if (other->isUp) {
            other->membership.set(member);
        }
    }
}

std::size_t FlowCluster::homeOf(const FlowKey &key, std::size_t observer, std::size_t rank)
{
    const FakePlacement &placement = this->vms[observer]->placement;
    const auto service = placement.service(key.service, key.protocol);
    const auto names = this->vms[observer]->membership.ranked(
        placement.homeKey(*service, key.hash()), this->vms.size());
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        if (this->vms[i]->name == names[rank]) {
            return i;
        }
    }
    return 0;
}

std::size_t FlowCluster::otherThanHome(const FlowKey &key)
{
    return this->homeOf(key, 0, 2);
}

FlowKey FlowCluster::flow(std::uint16_t n)
{
    return {{0x7f030001, static_cast<std::uint16_t>(20000 + n)}, {kServiceAddress, 443}, 6};
}
}
