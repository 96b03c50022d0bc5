#pragma once

#include "flows/types/flowkey.h"
#include "settings/types/service.h"
#include "standins/delayline.h"
#include "standins/warmup.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace radishladder::net {
class BatchSocket;
class IEventLoop;
class IHttpResponder;
class IHttpServer;
struct HttpRequest;
}

namespace radishladder::standins {
class NetworkMap;

//! One upstream host: unwraps packets of flows, runs requests, starts cold, and logs what it ran.
class UpstreamStandin
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! What it did and what it met, for the judgement of a run.
    struct Log
    {
        std::uint64_t misdelivered = 0;
        std::uint64_t coldOverloads = 0;

        //! The same within the first second after it turned cold without a word.
        std::uint64_t unwarnedOverloads = 0;

        std::uint64_t requestsRun = 0;
        std::uint64_t flowsOpened = 0;
        std::map<std::string, int> runsByKey;
        TimePoint lastNewWork;
        TimePoint lastPacket;
        TimePoint lastRequest;
    };

    UpstreamStandin(const settings::Service &service, const settings::Upstream &upstream,
                    const NetworkMap &network, std::chrono::milliseconds serviceTime,
                    net::IEventLoop &loop);
    ~UpstreamStandin();

    //! Listens; false if a port cannot be bound.
    bool start();

    //! Ends without a word; flows and running requests are lost.
    void kill();

    bool isRunning() const { return this->server != nullptr; }

    //! Falls back to what it bears after a start; its load report tells only after \a reportLag.
    void turnCold(std::chrono::milliseconds reportLag);

    //! Refuses all new requests while \a sheds.
    void setShedding(bool sheds) { this->shedding = sheds; }

    const settings::Service &serviceDescription() const { return this->service; }
    const settings::Upstream &description() const { return this->upstream; }
    const Log &log() const { return this->records; }

private:
    using Responder = std::shared_ptr<net::IHttpResponder>;

    void receivePacket(std::span<const std::uint8_t> packet, const net::Endpoint &from);
    void openFlow(const flows::FlowKey &key);
    void answerFlow(const flows::FlowKey &key, std::span<const std::uint8_t> packet);
    void receiveRequest(const net::HttpRequest &request, const Responder &responder);
    void run(const net::HttpRequest &request, const Responder &responder);
    void finish(const net::HttpRequest &request, const Responder &responder);
    void answerLoad(const Responder &responder) const;
    void refuse(const Responder &responder, const std::string &why) const;
    void exceed(const Responder &responder);
    bool isSilent() const;

    settings::Service service;
    settings::Upstream upstream;
    const NetworkMap &network;
    std::chrono::milliseconds serviceTime;
    net::IEventLoop &loop;
    DelayLine line;
    WarmUp warmUp;
    std::unique_ptr<net::BatchSocket> socket;
    std::unique_ptr<net::IHttpServer> server;
    std::set<flows::FlowKey> flows;
    std::atomic<std::uint64_t> life = 0;
    TimePoint silentUntil;
    TimePoint unwarnedUntil;
    bool shedding = false;
    int busySlots = 0;
    Log records;
};
}
