#include "operations/admincalls.h"

#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "operations/callcodec.h"
#include "operations/iexplainer.h"
#include "operations/internal/rpcconnector.h"
#include "operations/istatusprovider.h"
#include "operations/types/explanation.h"
#include "operations/types/vmstatus.h"
#include "settings/jsonfile.h"
#include "telemetry/itimeline.h"

#include <jsonrpccpp/server/abstractserver.h>

namespace radishladder::operations {
namespace {
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;

net::HttpAnswer jsonAnswer(std::string body)
{
    return {.headers = {{"Content-Type", "application/json"}}, .body = std::move(body)};
}

Json::Value errorJson(const Reason &reason)
{
    Json::Value json(Json::objectValue);
    json["error"]["code"] = static_cast<int>(reason.code);
    json["error"]["name"] = std::string(resultCodeName(reason.code));
    json["error"]["detail"] = reason.detail;
    return json;
}
}

class AdminCalls::RpcServer : public jsonrpc::AbstractServer<RpcServer>
{
public:
    RpcServer(RpcConnector &connector, const IStatusProvider &status,
              const telemetry::ITimeLine &timeLine, IExplainer &explainer)
        : AbstractServer(connector), connector(connector), status(status), timeLine(timeLine),
          explainer(explainer)
    {
        using jsonrpc::Procedure;
        this->bindAndAddMethod(
            Procedure("status", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            &RpcServer::answerStatus);
        this->bindAndAddMethod(
            Procedure("timeline", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_ARRAY, nullptr),
            &RpcServer::answerTimeLine);
        this->bindAndAddMethod(
            Procedure("explain", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            &RpcServer::answerExplain);
    }

    std::string answer(const std::string &request) { return this->connector.answer(request); }

private:
    void answerStatus(const Json::Value &, Json::Value &result)
    {
        result = statusJson(this->status.status());
    }

    void answerTimeLine(const Json::Value &, Json::Value &result)
    {
        result = Json::Value(Json::arrayValue);
        for (const telemetry::Event &event : this->timeLine.events()) {
            result.append(eventJson(event));
        }
    }

    void answerExplain(const Json::Value &parameters, Json::Value &result)
    {
        Reason reason;
        const auto question = readQuestion(parameters, reason);
        if (!question) {
            result = errorJson(reason);
            return;
        }
        const auto explanation = this->explainer.explain(*question);
        result =
            explanation ? explanationJson(*explanation) : errorJson(this->explainer.lastReason());
    }

    RpcConnector &connector;
    const IStatusProvider &status;
    const telemetry::ITimeLine &timeLine;
    IExplainer &explainer;
};

AdminCalls::AdminCalls(AccessPolicy access, const IStatusProvider &status,
                       const telemetry::ITimeLine &timeLine, IExplainer &explainer)
    : access(std::move(access)), status(status), connector(std::make_unique<RpcConnector>()),
      rpc(std::make_unique<RpcServer>(*this->connector, status, timeLine, explainer))
{ }

AdminCalls::~AdminCalls() = default;

net::HttpAnswer AdminCalls::answer(const net::HttpRequest &request)
{
    const bool isStatus = request.method == "GET" && request.path == "/status";
    const bool isRpc = request.method == "POST" && request.path == "/rpc";
    if (!isStatus && !isRpc) {
        net::HttpAnswer answer =
            jsonAnswer(settings::jsonText(errorJson({ResultCode::MethodUnknown, request.path})));
        answer.status = kNotFound;
        return answer;
    }
    // Every method so far only reads; one that changes something must ask for CallKind::Change.
    if (!this->access.allows(CallKind::Read, net::headerValue(request.headers, "Authorization"))) {
        net::HttpAnswer answer = jsonAnswer(
            settings::jsonText(errorJson({ResultCode::AccessDenied, "a valid token is needed"})));
        answer.status = kForbidden;
        return answer;
    }
    if (isStatus) {
        return jsonAnswer(settings::jsonText(statusJson(this->status.status())));
    }
    return jsonAnswer(this->rpc->answer(request.body));
}
}
