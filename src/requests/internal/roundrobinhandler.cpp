#include "requests/roundrobinhandler.h"

#include "net/ihttpclient.h"
#include "net/ihttpresponder.h"
#include "net/types/httpcall.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"
#include "requests/internal/outcomeanswer.h"
#include "requests/requestheaders.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"

#include <algorithm>

namespace radishladder::requests {
namespace {
const settings::Service *findService(const settings::Configuration &configuration,
                                     const std::string &name)
{
    const auto found =
        std::ranges::find(configuration.services, ServiceName(name), &settings::Service::name);
    return found == configuration.services.end() ? nullptr : &*found;
}

net::HttpAnswer toAnswer(const net::HttpResult &result)
{
    if (result.reason.code == ResultCode::Ok) {
        net::HttpAnswer answer;
        answer.status = result.answer.status;
        answer.body = result.answer.body;
        answer.headers["Content-Type"] = net::headerValue(result.answer.headers, "Content-Type");
        answer.headers[std::string(kResultHeader)] =
            std::to_string(static_cast<int>(ResultCode::RequestAnswered));
        return answer;
    }
    const ResultCode code =
        result.anythingSent ? ResultCode::RequestOutcomeUnknown : ResultCode::RequestNotRun;
    return outcomeAnswer(code, result.reason.detail);
}
}

RoundRobinHandler::RoundRobinHandler(settings::IConfigurationSource &source,
                                     net::IHttpClient &client)
    : source(source), client(client)
{ }

void RoundRobinHandler::handle(net::HttpRequest request,
                               std::shared_ptr<net::IHttpResponder> responder)
{
    if (!this->accepting) {
        responder->answer(outcomeAnswer(ResultCode::RequestStopping, "this VM is stopping"));
        return;
    }
    const auto configuration = this->source.current();
    const std::string host = net::headerValue(request.headers, "Host");
    const settings::Service *service = findService(*configuration, host.substr(0, host.find(':')));
    if (service == nullptr) {
        responder->answer(
            outcomeAnswer(ResultCode::RequestUnknownService, "no service for host " + host));
        return;
    }
    const settings::Upstream *upstream = this->next(*service);
    if (upstream == nullptr) {
        responder->answer(outcomeAnswer(ResultCode::RequestNotRun, "no upstream takes requests"));
        return;
    }
    net::HttpCall call{.method = request.method,
                       .url = "http://" + net::endpointText(upstream->http) + request.path
                           + request.query,
                       .headers = std::move(request.headers),
                       .body = std::move(request.body),
                       .timeout = service->requestTimeout};
    for (const char *hopByHop :
         {"Host", "Content-Length", "Connection", "Transfer-Encoding", "Expect"}) {
        call.headers.erase(hopByHop);
    }
    ++this->runningCount;
    this->started(*upstream);
    this->client.send(std::move(call),
                      [this, name = upstream->name,
                       responder = std::move(responder)](const net::HttpResult &result) {
                          --this->runningCount;
                          this->ended(name);
                          responder->answer(toAnswer(result));
                      });
}

void RoundRobinHandler::stopAccepting()
{
    this->accepting = false;
}

std::size_t RoundRobinHandler::running() const
{
    return this->runningCount;
}

const settings::Upstream *RoundRobinHandler::next(const settings::Service &service)
{
    for (std::size_t tried = 0; tried < service.upstreams.size(); ++tried) {
        const settings::Upstream &upstream =
            service.upstreams[this->turn++ % service.upstreams.size()];
        if (!upstream.drain && upstream.http.port != 0) {
            return &upstream;
        }
    }
    return nullptr;
}
}
