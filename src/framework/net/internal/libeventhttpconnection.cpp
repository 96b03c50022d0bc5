#include "net/libeventhttpconnection.h"

#include "net/libeventloop.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace radishladder::net {
namespace {
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned int kUserTimeoutMs = 2000;

evhttp_cmd_type toCommand(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Post:
        return EVHTTP_REQ_POST;
    case HttpMethod::Delete:
        return EVHTTP_REQ_DELETE;
    case HttpMethod::Get:
        break;
    }
    return EVHTTP_REQ_GET;
}

//! Sets keep-alive probes and a timeout for unacknowledged data, which detect a server that lost
//! power or network connectivity and therefore never closes its connection.
void setDeadPeerTimeouts(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
                 sizeof kKeepAliveIdleSeconds);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
                 sizeof kKeepAliveIntervalSeconds);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof kKeepAliveProbes);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
}

timeval toTimeval(std::chrono::milliseconds duration)
{
    return {duration.count() / 1000, duration.count() % 1000 * 1000};
}

std::string readBody(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

std::string readHeader(evhttp_request *request, const std::string &name)
{
    const char *value = name.empty()
        ? nullptr
        : evhttp_find_header(evhttp_request_get_input_headers(request), name.c_str());
    return value == nullptr ? "" : value;
}

HttpResult toResult(evhttp_request *request, const std::string &header)
{
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        return {.reason = {ResultCode::StoreUnreachable, "no answer"}};
    }
    return {.status = evhttp_request_get_response_code(request),
            .body = readBody(request),
            .header = readHeader(request, header)};
}
}

struct LibeventHttpConnection::State
{
    event_base *base = nullptr;
    Endpoint server;
    std::string host;
    evhttp_connection *connection = nullptr;
    Handler handler;

    //! Name of the header of the response that the pending request asks for.
    std::string responseHeader;

    //! Failed connection; must not be freed inside its own callback, so the next send() or the
    //! destructor frees it.
    evhttp_connection *failedConnection = nullptr;

    //! Timeouts of the pending request.
    timeval timeout{};
    std::optional<timeval> progressTimeout;

    //! Fails a request that takes longer than its maxDuration; null if there is no such limit.
    event *timer = nullptr;

    void connect()
    {
        this->connection = evhttp_connection_base_new(
            this->base, nullptr, addressText(this->server.address).c_str(), this->server.port);
        evhttp_connection_set_retries(this->connection, 0);
        evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection)),
                        State::onReceived, this);
    }

    //! Replaces the timeout of the pending request once a part of its response has arrived.
    static void onReceived(evbuffer *, const evbuffer_cb_info *change, void *context)
    {
        const auto *state = static_cast<const State *>(context);
        if (change->n_added > 0 && state->connection != nullptr && state->progressTimeout) {
            bufferevent_set_timeouts(evhttp_connection_get_bufferevent(state->connection),
                                     &*state->progressTimeout, nullptr);
        }
    }

    //! Sets the timeout until a part of the response has arrived, or until the server closes an
    //! idle connection.
    void setTimeout() { evhttp_connection_set_timeout_tv(this->connection, &this->timeout); }

    void freeConnection(evhttp_connection *&old)
    {
        if (old != nullptr) {
            evhttp_connection_free(old);
            old = nullptr;
        }
    }

    //! Starts the timer that fails the pending request if it takes longer than \a duration.
    void startTimer(std::chrono::milliseconds duration)
    {
        const timeval timeout = toTimeval(duration);
        this->timer = evtimer_new(this->base, State::onTooLong, this);
        evtimer_add(this->timer, &timeout);
    }

    void stopTimer()
    {
        if (this->timer != nullptr) {
            event_free(this->timer);
            this->timer = nullptr;
        }
    }

    static void onTooLong(evutil_socket_t, short, void *context)
    {
        static_cast<State *>(context)->failPending("the response took too long");
    }

    //! Fails the pending request and closes its connection, so that its late response cannot be
    //! matched to the next request.
    void failPending(const char *detail)
    {
        this->stopTimer();
        const Handler cancelledHandler = std::move(this->handler);
        this->handler = [](const HttpResult &) {};
        evhttp_connection *old = this->connection;
        this->connection = nullptr;
        this->freeConnection(old);
        this->handler = nullptr;
        cancelledHandler({.reason = {ResultCode::StoreUnreachable, detail}});
    }

    //! Reports a request that could not be sent, unless onDone() has already done so.
    void reportUnsent()
    {
        if (this->handler == nullptr) {
            return;
        }
        this->stopTimer();
        const Handler unsentHandler = std::move(this->handler);
        this->handler = nullptr;
        unsentHandler({.reason = {ResultCode::StoreUnreachable, "the request could not be sent"}});
    }

    static void onDone(evhttp_request *request, void *context)
    {
        auto *state = static_cast<State *>(context);
        state->stopTimer();
        const HttpResult result = toResult(request, state->responseHeader);
        if (result.status == 0) {
            state->failedConnection = state->connection;
            state->connection = nullptr;
        } else {
            state->setTimeout();
        }
        const Handler handler = std::move(state->handler);
        state->handler = nullptr;
        handler(result);
    }
};

LibeventHttpConnection::LibeventHttpConnection(LibeventLoop &loop, const Endpoint &server)
    : state(std::make_unique<State>())
{
    this->state->base = loop.base();
    this->state->server = server;
    this->state->host = endpointText(server);
}

LibeventHttpConnection::~LibeventHttpConnection()
{
    this->state->stopTimer();
    this->state->handler = [](const HttpResult &) {};
    this->state->freeConnection(this->state->failedConnection);
    this->state->freeConnection(this->state->connection);
}

void LibeventHttpConnection::send(const HttpRequest &request, Handler handler)
{
    this->state->freeConnection(this->state->failedConnection);
    if (this->state->handler != nullptr) {
        this->state->failPending("given up for another request");
    }
    if (this->state->connection == nullptr) {
        this->state->connect();
    }
    this->state->handler = std::move(handler);
    this->state->responseHeader = request.responseHeader;
    evhttp_request *outgoing = evhttp_request_new(State::onDone, this->state.get());
    evkeyvalq *headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", this->state->host.c_str());
    if (!request.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(),
                     request.body.size());
    }
    evhttp_connection *connection = this->state->connection;
    this->state->timeout = toTimeval(request.timeout);
    this->state->progressTimeout.reset();
    if (request.progressTimeout) {
        this->state->progressTimeout = toTimeval(*request.progressTimeout);
    }
    this->state->setTimeout();
    if (request.maxDuration) {
        this->state->startTimer(*request.maxDuration);
    }
    const std::string target =
        request.query.empty() ? request.path : request.path + "?" + request.query;
    if (evhttp_make_request(connection, outgoing, toCommand(request.method), target.c_str()) != 0) {
        this->state->reportUnsent();
        return;
    }
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    if (descriptor >= 0) {
        setDeadPeerTimeouts(descriptor);
    }
}
}
