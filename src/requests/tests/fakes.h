#pragma once

#include "global/manualclock.h"
#include "global/seededrandom.h"
#include "membership/imembership.h"
#include "membership/ipeertransport.h"
#include "membership/types/member.h"
#include "net/ihttpclient.h"
#include "net/ihttpresponder.h"
#include "net/types/httpanswer.h"
#include "net/types/httpcall.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "requests/requestengine.h"
#include "requests/requestheaders.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"
#include "telemetry/icounter.h"
#include "telemetry/prometheusmetrics.h"
#include "upstreams/islotholders.h"
#include "upstreams/iupstreams.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace radishladder::requests {

//! Upstreams without limits but one set by the test.
class FakeUpstreams : public upstreams::IUpstreams, public upstreams::ISlotHolders
{
public:
    upstreams::UpstreamState state(const UpstreamName &) const override
    {
        return upstreams::UpstreamState::Ready;
    }
    bool admitRequest(const UpstreamName &name, TimePoint) override
    {
        if (this->running[name] >= this->slots) {
            return false;
        }
        ++this->running[name];
        return true;
    }
    void requestEnded(const UpstreamName &name, upstreams::Observation observation,
                      std::chrono::milliseconds, TimePoint) override
    {
        --this->running[name];
        this->seen.push_back(observation);
    }
    bool admitFlow(const UpstreamName &, TimePoint) override { return true; }
    void flowEnded(const UpstreamName &, TimePoint) override { }
    void subscribe(Subscriber) override { }
    std::vector<VmName> holders(const UpstreamName &) const override { return this->holding; }

    int slots = 3;
    std::map<UpstreamName, int> running;
    std::vector<upstreams::Observation> seen;
    std::vector<VmName> holding;
};

class FakeMembership : public membership::IMembership
{
public:
    explicit FakeMembership(VmName self) : name(std::move(self)) { }

    const VmName &self() const override { return this->name; }
    std::vector<membership::Member> members() const override { return this->list; }
    const membership::Member *find(const VmName &wanted) const override
    {
        const auto found = std::ranges::find(this->list, wanted, &membership::Member::name);
        return found == this->list.end() ? nullptr : &*found;
    }
    std::vector<VmName> ranked(std::uint64_t, std::size_t) const override { return {}; }
    bool isConfident(std::chrono::steady_clock::time_point) const override
    {
        return this->confident;
    }
    bool isRevisionKnownByAll(std::int64_t, std::chrono::steady_clock::time_point) const override
    {
        return true;
    }
    void reportOwn(std::uint64_t, std::int64_t) override { }
    void subscribe(Subscriber) override { }

    std::vector<membership::Member> list;
    bool confident = true;

private:
    VmName name;
};

//! Queues datagrams until the test delivers, repeats or drops them.
class FakeTransport : public membership::IPeerTransport
{
public:
    struct Datagram
    {
        VmName from;
        VmName to;
        membership::MessageKind kind;
        std::vector<std::uint8_t> payload;
    };

    FakeTransport(VmName self, std::deque<Datagram> &wire) : self(std::move(self)), wire(wire) { }

    void send(const VmName &to, membership::MessageKind kind,
              std::span<const std::uint8_t> payload) override
    {
        this->wire.push_back({this->self, to, kind, {payload.begin(), payload.end()}});
    }
    void handle(membership::MessageKind kind, Handler handler) override
    {
        this->handlers[kind] = std::move(handler);
    }
    std::size_t maxPayloadBytes() const override { return 1200; }

    void receive(const Datagram &datagram) const
    {
        this->handlers.at(datagram.kind)(datagram.from, datagram.payload);
    }

private:
    VmName self;
    std::deque<Datagram> &wire;
    std::map<membership::MessageKind, Handler> handlers;
};

class FakeResponder : public net::IHttpResponder
{
public:
    void answer(const net::HttpAnswer &answer) override { this->answers.push_back(answer); }
    bool isCallerGone() const override { return this->callerGone; }

    int code() const
    {
        const std::string text = this->answers.empty()
            ? "0"
            : net::headerValue(this->answers.front().headers, kResultHeader);
        return text.empty() ? 0 : std::stoi(text);
    }

    std::vector<net::HttpAnswer> answers;
    bool callerGone = false;
};

//! Keeps the calls of all VMs until the test ends them.
class FakeClient : public net::IHttpClient
{
public:
    struct Call
    {
        net::HttpCall call;
        Handler handler;
    };

    CallId send(net::HttpCall call, Handler handler) override
    {
        this->calls.emplace(++this->lastId, Call{std::move(call), std::move(handler)});
        ++this->sentCount;
        return this->lastId;
    }
    void cancel(CallId id) override
    {
        this->calls.erase(id);
        ++this->cancelledCount;
    }

    Call take(CallId id)
    {
        auto node = this->calls.extract(id);
        return std::move(node.mapped());
    }

    //! Ends the oldest call with \a result.
    void finishFirst(const net::HttpResult &result)
    {
        const Call call = this->take(this->calls.begin()->first);
        call.handler(result);
    }

    //! Ends the oldest call with a whole answer that repeats its id.
    void answerFirst(const std::string &body, net::HttpHeaders headers = {}, int status = 200)
    {
        const net::HttpCall &call = this->calls.begin()->second.call;
        headers.emplace(kRequestIdHeader, net::headerValue(call.headers, kRequestIdHeader));
        this->finishFirst(
            {.answer = {.status = status, .headers = std::move(headers), .body = body},
             .anythingSent = true});
    }

    std::map<CallId, Call> calls;
    CallId lastId = 0;
    int sentCount = 0;
    int cancelledCount = 0;
};

//! One VM's engine between fakes.
struct TestVm
{
    TestVm(const VmName &name, settings::ConfigurationHolder &source, ManualClock &clock,
           std::deque<FakeTransport::Datagram> &wire)
        : membership(name), transport(name, wire), random(1), clock(clock),
          engine(
              {source, upstreams, upstreams, membership, transport, client, metrics, clock, random},
              {})
    { }

    std::shared_ptr<FakeResponder> handle(net::HttpRequest request)
    {
        auto responder = std::make_shared<FakeResponder>();
        this->engine.handle(std::move(request), responder);
        return responder;
    }

    std::uint64_t counted(ResultCode code)
    {
        return this->metrics
            .counter("requests_total", {{"outcome", std::string(resultCodeName(code))}})
            .value();
    }

    FakeMembership membership;
    FakeTransport transport;
    FakeUpstreams upstreams;
    FakeClient client;
    telemetry::PrometheusMetrics metrics;
    SeededRandom random;
    ManualClock &clock;
    RequestEngine engine;
};

inline net::HttpRequest lookup()
{
    return {.method = "GET", .path = "/item/1", .headers = {{"Host", "portal"}}};
}

inline net::HttpRequest booking(const std::string &key)
{
    return {.method = "POST",
            .path = "/reserve",
            .headers = {{"Host", "portal:80"}, {std::string(kIdempotencyKeyHeader), key}},
            .body = "reed"};
}

//! One service with three upstreams.
inline settings::Configuration portalConfiguration()
{
    settings::Configuration configuration{.generation = 1};
    settings::Service service;
    service.name = ServiceName("portal");
    service.maxBodyBytes = 1000;
    for (int i = 1; i <= 3; ++i) {
        settings::Upstream upstream;
        upstream.name = UpstreamName("h" + std::to_string(i));
        upstream.http = {0x7f000000U + static_cast<std::uint32_t>(i), 80};
        service.upstreams.push_back(upstream);
    }
    configuration.services.push_back(service);
    return configuration;
}
}
