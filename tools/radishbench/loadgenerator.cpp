#include "radishbench/loadgenerator.h"

#include "net/ihttpclient.h"
#include "radishbench/cluster.h"

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kLongInterval{100};
constexpr std::chrono::milliseconds kShortInterval{100};
constexpr std::chrono::milliseconds kShortLife{1000};

//! One flow in this many goes to the second service.
constexpr std::uint64_t kSecondServiceFlowEvery = 4;

const std::vector<settings::Service> &services(const Cluster &cluster)
{
    return cluster.deployment().configuration.services;
}
}

double capacityPerSecond(const Cluster &cluster, std::size_t service,
                         std::chrono::milliseconds time)
{
    if (service >= services(cluster).size()) {
        return 0;
    }
    int slots = 0;
    for (const settings::Upstream &upstream : services(cluster)[service].upstreams) {
        slots += upstream.slots;
    }
    return slots / std::chrono::duration<double>(time).count();
}

int LoadGenerator::Pace::due(std::chrono::duration<double> elapsed)
{
    this->carried += this->perSecond * elapsed.count();
    const int whole = static_cast<int>(this->carried);
    this->carried -= whole;
    return whole;
}

LoadGenerator::LoadGenerator(Cluster &cluster, net::IHttpClient &client, const Load &load)
    : cluster(cluster), load(load), flowCaller(cluster.deployment().callers, cluster.loop(),
                                               [&cluster](std::span<const std::uint8_t> packet) {
                                                   cluster.fabric().deliver(packet);
                                               }),
      requestCaller(client, [&cluster] { return cluster.fabric().requestEndpoint(); }),
      flowPace(load.shortFlowsPerSecond),
      requestPace(load.requestShare
                  * capacityPerSecond(cluster, 0, cluster.deployment().requestTime)),
      uploadPace(load.uploadShare * capacityPerSecond(cluster, 1, cluster.deployment().uploadTime))
{ }

bool LoadGenerator::start()
{
    return this->flowCaller.start();
}

void LoadGenerator::begin(TimePoint now, std::chrono::milliseconds duration)
{
    for (int i = 0; i < this->load.longFlows; ++i) {
        const std::size_t service = static_cast<std::size_t>(i) % services(this->cluster).size();
        this->flowCaller.open(services(this->cluster)[service].address, duration, kLongInterval);
    }
    this->lastTick = now;
    this->loading = true;
}

void LoadGenerator::tick(TimePoint now)
{
    if (this->loading) {
        const std::chrono::duration<double> elapsed = now - this->lastTick;
        this->lastTick = now;
        for (int due = this->flowPace.due(elapsed); due > 0; --due) {
            this->openShortFlow();
        }
        for (int due = this->requestPace.due(elapsed); due > 0; --due) {
            this->sendRequest();
        }
        for (int due = this->uploadPace.due(elapsed); due > 0; --due) {
            this->sendUpload();
        }
    }
    this->flowCaller.tick(now);
    this->cluster.fabric().flush();
}

bool LoadGenerator::isIdle() const
{
    return this->flowCaller.running() == 0 && this->requestCaller.outstanding() == 0;
}

void LoadGenerator::openShortFlow()
{
    const bool isSecond =
        services(this->cluster).size() > 1 && ++this->flowTurn % kSecondServiceFlowEvery == 0;
    this->flowCaller.open(services(this->cluster)[isSecond ? 1 : 0].address, kShortLife,
                          kShortInterval);
}

void LoadGenerator::sendRequest()
{
    const std::string &service = services(this->cluster).front().name.str();
    const bool isReservation =
        ++this->requestTurn % static_cast<std::uint64_t>(this->load.reservationEvery) == 0;
    this->requestCaller.send(isReservation ? RequestKind::Reservation : RequestKind::Lookup,
                             service, 0);
}

void LoadGenerator::sendUpload()
{
    this->requestCaller.send(RequestKind::Upload, services(this->cluster)[1].name.str(),
                             this->load.uploadBytes);
}
}
