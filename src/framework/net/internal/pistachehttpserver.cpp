#include "net/pistachehttpserver.h"

#include "net/ihttpresponder.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"

#include <atomic>
#include <mutex>
#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sys/socket.h>

namespace radishladder::net {
namespace {
//! Pistache writes out typed header fields only, so a field by name needs a type of its own.
class NamedHeader : public Pistache::Http::Header::Header
{
public:
    NamedHeader(std::string name, std::string value)
        : headerName(std::move(name)), value(std::move(value))
    { }

    const char *name() const override { return this->headerName.c_str(); }
    void write(std::ostream &stream) const override { stream << this->value; }
#ifdef SAFE_HEADER_CAST
    std::uint64_t hash() const override
    {
        return Pistache::Http::Header::detail::hash("NamedHeader");
    }
#endif

private:
    std::string headerName;
    std::string value;
};

class PistacheResponder : public IHttpResponder
{
public:
    explicit PistacheResponder(Pistache::Http::ResponseWriter writer)
        : writer(std::move(writer)) { }

    void answer(const HttpAnswer &answer) override
    {
        if (this->answered.exchange(true)) {
            return;
        }
        for (const auto &[name, value] : answer.headers) {
            this->writer.headers().add(std::make_shared<NamedHeader>(name, value));
        }
        this->writer.send(static_cast<Pistache::Http::Code>(answer.status), answer.body);
    }

    void drop() override
    {
        const auto peer = this->writer.getPeer();
        if (peer && !this->answered.exchange(true)) {
            ::shutdown(peer->fd(), SHUT_RDWR);
        }
    }

    bool isCallerGone() const override
    {
        const auto peer = this->writer.getPeer();
        if (!peer) {
            return true;
        }
        char byte = 0;
        return ::recv(peer->fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

private:
    Pistache::Http::ResponseWriter writer;
    std::atomic<bool> answered = false;
};

HttpRequest convert(const Pistache::Http::Request &request)
{
    HttpRequest converted;
    converted.method = Pistache::Http::methodString(request.method());
    converted.path = request.resource();
    converted.query = request.query().as_str();
    converted.body = request.body();
    for (const auto &[name, raw] : request.headers().rawList()) {
        converted.headers[raw.name()] = raw.value();
    }
    const auto address = parseAddress(request.address().host());
    converted.from = {address.value_or(0), static_cast<std::uint16_t>(request.address().port())};
    return converted;
}

class PistacheHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(PistacheHandler)

    explicit PistacheHandler(IHttpServer::Handler handler) : handler(std::move(handler)) { }

    void onRequest(const Pistache::Http::Request &request,
                   Pistache::Http::ResponseWriter writer) override
    {
        this->handler(convert(request), std::make_shared<PistacheResponder>(std::move(writer)));
    }

private:
    IHttpServer::Handler handler;
};
}

struct PistacheHttpServer::State
{
    HttpServerOptions options;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    Reason reason;
};

PistacheHttpServer::PistacheHttpServer(const HttpServerOptions &options)
    : state(std::make_unique<State>())
{
    this->state->options = options;
}

PistacheHttpServer::~PistacheHttpServer()
{
    this->stop();
}

bool PistacheHttpServer::start(Handler handler)
{
    const HttpServerOptions &options = this->state->options;
    const Pistache::Address address(addressText(options.local.address),
                                    Pistache::Port(options.local.port));
    try {
        this->state->endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
        this->state->endpoint->init(
            Pistache::Http::Endpoint::options()
                .threads(options.threads)
                .flags(Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                       | Pistache::Tcp::Options::NoDelay)
                .maxRequestSize(options.maxRequestBytes)
                .headerTimeout(options.headerTimeout)
                .bodyTimeout(options.bodyTimeout));
        this->state->endpoint->setHandler(std::make_shared<PistacheHandler>(std::move(handler)));
        this->state->endpoint->serveThreaded();
    } catch (const std::exception &error) {
        this->state->reason = {ResultCode::SocketFailed,
                               "http " + endpointText(options.local) + ": " + error.what()};
        this->state->endpoint.reset();
        return false;
    }
    return true;
}

void PistacheHttpServer::stop()
{
    if (this->state->endpoint) {
        this->state->endpoint->shutdown();
        this->state->endpoint.reset();
    }
}

Reason PistacheHttpServer::lastReason() const
{
    return this->state->reason;
}
}
