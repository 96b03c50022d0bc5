#include "net/libeventhttpserver.h"

#include "net/libeventloop.h"
#include "net/types/endpoint.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"

#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/http.h>
#include <vector>

namespace radishladder::net {
namespace {
constexpr int kIdleTimeoutSeconds = 10;
constexpr int kMaxBodyBytes = 64 * 1024;
constexpr int kMaxHeaderBytes = 16 * 1024;

HttpMethod toMethod(evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_POST:
        return HttpMethod::Post;
    case EVHTTP_REQ_DELETE:
        return HttpMethod::Delete;
    default:
        return HttpMethod::Get;
    }
}

HttpRequest toRequest(evhttp_request *incoming)
{
    HttpRequest request{.method = toMethod(incoming)};
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(incoming);
    const char *path = evhttp_uri_get_path(uri);
    const char *query = evhttp_uri_get_query(uri);
    request.path = path == nullptr ? "" : path;
    request.query = query == nullptr ? "" : query;
    evbuffer *input = evhttp_request_get_input_buffer(incoming);
    request.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, request.body.data(), request.body.size());
    return request;
}

//! Incoming request; detached from libevent when its response is sent or its connection closes.
class OpenRequest
{
public:
    explicit OpenRequest(evhttp_request *request) : request(request) { }

    void respond(const HttpResponse &response)
    {
        if (this->request == nullptr) {
            return;
        }
        evhttp_add_header(evhttp_request_get_output_headers(this->request), "Content-Type",
                          response.contentType.c_str());
        for (const auto &[name, value] : response.headers) {
            evhttp_add_header(evhttp_request_get_output_headers(this->request), name.c_str(),
                              value.c_str());
        }
        evbuffer *body = evhttp_request_get_output_buffer(this->request);
        evbuffer_add(body, response.body.data(), response.body.size());
        evhttp_send_reply(this->request, response.status, nullptr, nullptr);
        this->request = nullptr;
    }

    void detach() { this->request = nullptr; }
    bool isCompleted() const { return this->request == nullptr; }
    bool hasConnection(evhttp_connection *connection) const
    {
        return this->request != nullptr
            && evhttp_request_get_connection(this->request) == connection;
    }

private:
    evhttp_request *request;
};
}

struct LibeventHttpServer::State
{
    event_base *base = nullptr;
    evhttp *server = nullptr;
    Handler handler;
    Reason reason;

    static void onRequest(evhttp_request *incoming, void *context)
    {
        auto *state = static_cast<State *>(context);
        const auto openRequest = std::make_shared<OpenRequest>(incoming);
        evhttp_connection_set_closecb(evhttp_request_get_connection(incoming), onClosed, state);
        state->openRequests.push_back(openRequest);
        state->handler(toRequest(incoming), [openRequest](const HttpResponse &response) {
            openRequest->respond(response);
        });
        state->eraseCompleted();
    }

    //! Detaches the open requests of a connection that the client closed: libevent frees these
    //! requests, so a later response must not access them.
    static void onClosed(evhttp_connection *connection, void *context)
    {
        auto *state = static_cast<State *>(context);
        for (const auto &openRequest : state->openRequests) {
            if (const auto request = openRequest.lock();
                request && request->hasConnection(connection)) {
                request->detach();
            }
        }
        state->eraseCompleted();
    }

    void eraseCompleted()
    {
        std::erase_if(this->openRequests, [](const std::weak_ptr<OpenRequest> &request) {
            const auto openRequest = request.lock();
            return !openRequest || openRequest->isCompleted();
        });
    }

    std::vector<std::weak_ptr<OpenRequest>> openRequests;
};

LibeventHttpServer::LibeventHttpServer(LibeventLoop &loop) : state(std::make_unique<State>())
{
    this->state->base = loop.base();
}

LibeventHttpServer::~LibeventHttpServer()
{
    this->stop();
}

bool LibeventHttpServer::start(const Endpoint &local, Handler handler)
{
    this->stop();
    this->state->handler = std::move(handler);
    this->state->server = evhttp_new(this->state->base);
    evhttp_set_timeout(this->state->server, kIdleTimeoutSeconds);
    evhttp_set_max_body_size(this->state->server, kMaxBodyBytes);
    evhttp_set_max_headers_size(this->state->server, kMaxHeaderBytes);
    evhttp_set_gencb(this->state->server, State::onRequest, this->state.get());
    if (evhttp_bind_socket(this->state->server, addressText(local.address).c_str(), local.port)
        == 0) {
        return true;
    }
    this->state->reason = {ResultCode::SocketFailed,
                           "tcp " + endpointText(local) + ": " + std::strerror(errno)};
    this->stop();
    return false;
}

void LibeventHttpServer::stop()
{
    if (this->state->server != nullptr) {
        evhttp_free(this->state->server);
        this->state->server = nullptr;
    }
}

Reason LibeventHttpServer::lastReason() const
{
    return this->state->reason;
}
}
