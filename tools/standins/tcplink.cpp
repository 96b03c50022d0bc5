#include "standins/tcplink.h"

#include "standins/networkmap.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <thread>

namespace radishladder::standins {
namespace {
using asio::ip::tcp;

constexpr std::size_t kChunkBytes = 65536;

tcp::endpoint socketEndpoint(const net::Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

//! One direction of a connection.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
    Pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
         const NetworkMap &network, std::uint32_t source, std::uint32_t target)
        : from(std::move(from)), to(std::move(to)), network(network), source(source),
          target(target), timer(this->from->get_executor())
    { }

    void read()
    {
        this->from->async_read_some(
            asio::buffer(this->chunk),
            [self = shared_from_this()](const asio::error_code &error, std::size_t bytes) {
                if (error) {
                    self->close();
                    return;
                }
                self->delay(bytes);
            });
    }

private:
    void delay(std::size_t bytes)
    {
        // Bytes sent into a cut are lost, and the stream cannot go on without them.
        if (this->network.isCut(this->source, this->target)) {
            this->stall();
            return;
        }
        this->timer.expires_after(this->network.delay(this->source, this->target));
        this->timer.async_wait([self = shared_from_this(), bytes](const asio::error_code &error) {
            if (!error) {
                self->write(bytes);
            }
        });
    }

    void write(std::size_t bytes)
    {
        asio::async_write(*this->to, asio::buffer(this->chunk.data(), bytes),
                          [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                              if (error) {
                                  self->close();
                                  return;
                              }
                              self->read();
                          });
    }

    //! Waits in silence until the sender gives up.
    void stall()
    {
        this->from->async_read_some(
            asio::buffer(this->chunk),
            [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                if (error) {
                    self->close();
                    return;
                }
                self->stall();
            });
    }

    void close()
    {
        asio::error_code ignored;
        this->from->close(ignored);
        this->to->close(ignored);
    }

    std::shared_ptr<tcp::socket> from;
    std::shared_ptr<tcp::socket> to;
    const NetworkMap &network;
    std::uint32_t source;
    std::uint32_t target;
    asio::steady_timer timer;
    std::array<char, kChunkBytes> chunk{};
};
}

struct TcpLink::State
{
    std::vector<Route> routes;
    const NetworkMap &network;
    asio::io_context context{1};
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
    std::thread thread;

    bool listen(const Route &route);
    void accept(tcp::acceptor &acceptor, const Route &route);
    void pass(const std::shared_ptr<tcp::socket> &caller, const Route &route);
};

TcpLink::TcpLink(std::vector<Route> routes, const NetworkMap &network)
    : state(new State{.routes = std::move(routes), .network = network})
{ }

TcpLink::~TcpLink()
{
    this->state->context.stop();
    if (this->state->thread.joinable()) {
        this->state->thread.join();
    }
}

bool TcpLink::start()
{
    for (const Route &route : this->state->routes) {
        if (!this->state->listen(route)) {
            return false;
        }
    }
    this->state->thread = std::thread([raw = this->state.get()] { raw->context.run(); });
    return true;
}

bool TcpLink::State::listen(const Route &route)
{
    asio::error_code error;
    auto acceptor = std::make_unique<tcp::acceptor>(this->context);
    acceptor->open(tcp::v4(), error);
    acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    acceptor->bind(socketEndpoint(route.listed), error);
    if (error) {
        return false;
    }
    acceptor->listen(asio::socket_base::max_listen_connections, error);
    this->accept(*this->acceptors.emplace_back(std::move(acceptor)), route);
    return !error;
}

void TcpLink::State::accept(tcp::acceptor &acceptor, const Route &route)
{
    auto caller = std::make_shared<tcp::socket>(this->context);
    acceptor.async_accept(*caller,
                          [this, &acceptor, &route, caller](const asio::error_code &error) {
                              if (!error) {
                                  this->pass(caller, route);
                              }
                              this->accept(acceptor, route);
                          });
}

void TcpLink::State::pass(const std::shared_ptr<tcp::socket> &caller, const Route &route)
{
    asio::error_code error;
    const tcp::endpoint from = caller->remote_endpoint(error);
    if (error) {
        return;
    }
    const std::uint32_t source = from.address().to_v4().to_uint();
    auto server = std::make_shared<tcp::socket>(this->context);
    // The VM must see the address of the VM that calls, not that of the link.
    server->open(tcp::v4(), error);
    server->bind({from.address(), 0}, error);
    server->async_connect(
        socketEndpoint(route.real),
        [this, caller, server, source,
         target = route.real.address](const asio::error_code &failed) {
            // Without a listener behind it the connection is refused by ending it.
            if (failed) {
                return;
            }
            asio::error_code ignored;
            caller->set_option(tcp::no_delay(true), ignored);
            server->set_option(tcp::no_delay(true), ignored);
            std::make_shared<Pump>(caller, server, this->network, source, target)->read();
            std::make_shared<Pump>(server, caller, this->network, target, source)->read();
        });
}
}
