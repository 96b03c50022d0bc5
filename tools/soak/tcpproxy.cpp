#include "soak/tcpproxy.h"

#include "net/libeventloop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <list>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace radishladder::soak {
namespace {
constexpr std::chrono::milliseconds kDelay{300};

sockaddr_in socketAddress(const net::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

//! Makes the close of the connection send a RST.
void resetOnClose(bufferevent *side)
{
    const linger zeroLinger{1, 0};
    ::setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof zeroLinger);
}

std::string readAll(bufferevent *side)
{
    evbuffer *input = bufferevent_get_input(side);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    return bytes;
}
}

struct TcpProxy::State
{
    struct Link
    {
        State *owner = nullptr;
        std::list<Link>::iterator self;
        bufferevent *client = nullptr;
        bufferevent *server = nullptr;
        std::shared_ptr<int> alive = std::make_shared<int>(0);

        ~Link()
        {
            bufferevent_free(this->client);
            bufferevent_free(this->server);
        }
    };

    net::LibeventLoop &loop;
    net::Endpoint local;
    net::Endpoint target;
    ProxyFault fault = ProxyFault::None;
    evconnlistener *listener = nullptr;
    std::list<Link> links;

    static void onAccept(evconnlistener *, int descriptor, sockaddr *, int, void *context)
    {
        auto *state = static_cast<State *>(context);
        state->links.emplace_back();
        Link &link = state->links.back();
        link.owner = state;
        link.self = std::prev(state->links.end());
        link.client = bufferevent_socket_new(state->loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        link.server = bufferevent_socket_new(state->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(link.client, onRead, nullptr, onEvent, &link);
        bufferevent_setcb(link.server, onRead, nullptr, onEvent, &link);
        if (state->fault == ProxyFault::Reset) {
            state->resetLink(link);
            return;
        }
        const sockaddr_in address = socketAddress(state->target);
        bufferevent_socket_connect(link.server, reinterpret_cast<const sockaddr *>(&address),
                                   sizeof address);
        bufferevent_enable(link.client, EV_READ | EV_WRITE);
        bufferevent_enable(link.server, EV_READ | EV_WRITE);
    }

    static void onRead(bufferevent *from, void *context)
    {
        auto *link = static_cast<Link *>(context);
        link->owner->forward(*link, from);
    }

    static void onEvent(bufferevent *, short what, void *context)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            auto *link = static_cast<Link *>(context);
            link->owner->links.erase(link->self);
        }
    }

    void forward(Link &link, bufferevent *from)
    {
        const std::string bytes = readAll(from);
        const bool isFromServer = from == link.server;
        bufferevent *to = isFromServer ? link.client : link.server;
        if (this->fault == ProxyFault::Blackhole
            || (this->fault == ProxyFault::OneWay && isFromServer)) {
            return;
        }
        if (this->fault == ProxyFault::Delay) {
            this->loop.after(kDelay, [to, bytes, guard = std::weak_ptr<int>(link.alive)]() {
                if (!guard.expired()) {
                    bufferevent_write(to, bytes.data(), bytes.size());
                }
            });
            return;
        }
        bufferevent_write(to, bytes.data(), bytes.size());
    }

    void resetLink(Link &link)
    {
        resetOnClose(link.client);
        this->links.erase(link.self);
    }
};

TcpProxy::TcpProxy(net::LibeventLoop &loop, const net::Endpoint &local, const net::Endpoint &server)
    : state(new State{loop, local, server})
{ }

TcpProxy::~TcpProxy()
{
    this->state->links.clear();
    if (this->state->listener != nullptr) {
        evconnlistener_free(this->state->listener);
    }
}

bool TcpProxy::start()
{
    const sockaddr_in address = socketAddress(this->state->local);
    this->state->listener =
        evconnlistener_new_bind(this->state->loop.base(), State::onAccept, this->state.get(),
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return this->state->listener != nullptr;
}

void TcpProxy::setFault(ProxyFault fault)
{
    this->state->fault = fault;
    if (fault == ProxyFault::Reset) {
        while (!this->state->links.empty()) {
            this->state->resetLink(this->state->links.front());
        }
    }
}
}
