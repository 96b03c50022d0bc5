#include "standins/upstreamstandin.h"

#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "net/ihttpresponder.h"
#include "net/pistachehttpserver.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "settings/jsonfile.h"
#include "standins/networkmap.h"
#include "standins/packetbuilder.h"
#include "standins/wire.h"

namespace radishladder::standins {
namespace {
constexpr std::chrono::seconds kFallOver{1};
}

UpstreamStandin::UpstreamStandin(const settings::Service &service,
                                 const settings::Upstream &upstream, const NetworkMap &network,
                                 std::chrono::milliseconds serviceTime, net::IEventLoop &loop)
    : service(service), upstream(upstream), network(network), serviceTime(serviceTime), loop(loop),
      line(loop)
{ }

UpstreamStandin::~UpstreamStandin()
{
    this->kill();
}

bool UpstreamStandin::start()
{
    Reason reason;
    this->socket = net::BatchSocket::open(this->upstream.tunnel, reason);
    if (!this->socket) {
        return false;
    }
    this->loop.watchReadable(this->socket->descriptor(), [this] {
        this->socket->receive([this](std::span<std::uint8_t> packet, const net::Endpoint &from) {
            this->receivePacket(packet, from);
        });
    });
    this->server = std::make_unique<net::PistacheHttpServer>(
        net::HttpServerOptions{.local = this->upstream.http, .threads = 1});
    return this->server->start([this](net::HttpRequest request, Responder responder) {
        const std::uint64_t current = this->life;
        this->loop.post(
            [this, current, request = std::move(request), responder = std::move(responder)] {
                if (current == this->life) {
                    this->receiveRequest(request, responder);
                }
            });
    });
}

void UpstreamStandin::kill()
{
    ++this->life;
    if (this->socket) {
        this->loop.unwatch(this->socket->descriptor());
        this->socket.reset();
    }
    if (this->server) {
        this->server->stop();
        this->server.reset();
    }
    this->flows.clear();
    this->busySlots = 0;
    this->shedding = false;
    this->warmUp.turnCold();
}

void UpstreamStandin::turnCold(std::chrono::milliseconds reportLag)
{
    // Nobody can know at once: what exceeds until the report catches up is counted apart.
    this->unwarnedUntil = std::chrono::steady_clock::now() + reportLag;
    this->warmUp.turnCold();
}

void UpstreamStandin::receivePacket(std::span<const std::uint8_t> packet, const net::Endpoint &from)
{
    if (this->network.isCut(from.address, this->upstream.tunnel.address)) {
        return;
    }
    this->records.lastPacket = std::chrono::steady_clock::now();
    const flows::FlowKey key = packetKey(packet);
    if (key.service != this->service.address) {
        ++this->records.misdelivered;
        return;
    }
    if (this->isSilent()) {
        return;
    }
    const auto delay = this->network.delay(from.address, this->upstream.tunnel.address)
        + this->network.callerDelay();
    const std::uint64_t current = this->life;
    this->line.later(delay, [this, current, key, copy = std::vector(packet.begin(), packet.end())] {
        if (current != this->life) {
            return;
        }
        this->answerFlow(key, copy);
        this->socket->flush();
    });
}

void UpstreamStandin::openFlow(const flows::FlowKey &key)
{
    const auto now = std::chrono::steady_clock::now();
    if (this->flows.contains(key)) {
        return;
    }
    this->records.lastNewWork = now;
    if (!this->warmUp.takeFlow(now)) {
        this->exceed(nullptr);
        return;
    }
    this->flows.insert(key);
    ++this->records.flowsOpened;
    this->warmUp.proveAnswer();
}

void UpstreamStandin::answerFlow(const flows::FlowKey &key, std::span<const std::uint8_t> packet)
{
    const TcpFlags flags = tcpFlags(packet);
    const flows::FlowKey back{key.service, key.caller, key.protocol};
    const net::Endpoint caller{key.caller.address, kCallerPort};
    const auto reply = [this, &back, &caller](const TcpFlags &answerFlags,
                                              std::span<const std::uint8_t> payload) {
        this->socket->send(buildTcpPacket(back, answerFlags, payload), caller);
    };
    if (flags.syn) {
        this->openFlow(key);
        if (this->flows.contains(key) && !this->isSilent()) {
            reply({.syn = true, .ack = true}, encodeFlowAnswer({}, this->upstream.name));
        }
    } else if (!this->flows.contains(key)) {
        reply({.rst = true}, {});
    } else if (flags.fin || flags.rst) {
        this->flows.erase(key);
        reply({.ack = true, .fin = true}, {});
    } else {
        reply({.ack = true}, encodeFlowAnswer(tcpPayload(packet), this->upstream.name));
    }
}

void UpstreamStandin::receiveRequest(const net::HttpRequest &request, const Responder &responder)
{
    const bool isCut = this->network.isCut(request.from.address, this->upstream.http.address);
    if (isCut || this->isSilent()) {
        return;
    }
    if (request.path == "/load") {
        this->answerLoad(responder);
        return;
    }
    this->records.lastPacket = std::chrono::steady_clock::now();
    this->records.lastNewWork = this->records.lastPacket;
    this->records.lastRequest = this->records.lastPacket;
    if (!request.path.starts_with("/" + this->service.name.str() + "/")) {
        ++this->records.misdelivered;
    }
    if (this->shedding) {
        this->refuse(responder, "shedding");
    } else if (!this->warmUp.isWarm()
               && this->busySlots >= this->warmUp.requestsBorne(this->upstream.slots)) {
        this->exceed(responder);
    } else if (this->busySlots >= this->upstream.slots) {
        this->refuse(responder, "no slot");
    } else {
        this->run(request, responder);
    }
}

void UpstreamStandin::run(const net::HttpRequest &request, const Responder &responder)
{
    ++this->busySlots;
    ++this->records.requestsRun;
    const std::string key = net::headerValue(request.headers, "Idempotency-Key");
    if (!key.empty()) {
        ++this->records.runsByKey[key];
    }
    const std::uint64_t current = this->life;
    this->loop.after(this->serviceTime, [this, current, request, responder] {
        if (current == this->life) {
            this->finish(request, responder);
        }
    });
}

void UpstreamStandin::finish(const net::HttpRequest &request, const Responder &responder)
{
    --this->busySlots;
    const bool isCut = this->network.isCut(request.from.address, this->upstream.http.address);
    if (isCut || this->isSilent()) {
        return;
    }
    this->warmUp.proveAnswer();
    responder->answer(
        {.headers = {{"X-Request-Id", net::headerValue(request.headers, "X-Request-Id")},
                     {"Content-Type", "text/plain"}},
         .body = expectedAnswer(request.path, request.body)});
}

void UpstreamStandin::answerLoad(const Responder &responder) const
{
    Json::Value load(Json::objectValue);
    const bool looksReady =
        this->warmUp.isWarm() || std::chrono::steady_clock::now() < this->unwarnedUntil;
    load["state"] = this->shedding ? "shedding" : looksReady ? "ready" : "starting";
    load["running"] = this->busySlots;
    load["slots"] = this->upstream.slots;
    load["connections"] = static_cast<Json::UInt64>(this->flows.size());
    responder->answer(
        {.headers = {{"Content-Type", "application/json"}}, .body = settings::jsonText(load)});
}

void UpstreamStandin::refuse(const Responder &responder, const std::string &why) const
{
    responder->answer({.status = 503, .headers = {{"X-Refused", "not-run"}}, .body = why + "\n"});
}

void UpstreamStandin::exceed(const Responder &responder)
{
    const auto now = std::chrono::steady_clock::now();
    if (now >= this->unwarnedUntil) {
        ++this->records.coldOverloads;
        this->silentUntil = now + kFallOver;
        return;
    }
    ++this->records.unwarnedOverloads;
    if (responder) {
        this->refuse(responder, "cold");
    }
}

bool UpstreamStandin::isSilent() const
{
    return std::chrono::steady_clock::now() < this->silentUntil;
}
}
