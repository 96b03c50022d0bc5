#pragma once

#include "net/ihttpconnection.h"

#include <memory>

namespace radishladder::net {
struct TrafficMeter;

//! Decorator that counts the bytes that a connection sends and receives.
class MeteredConnection : public IHttpConnection
{
public:
    MeteredConnection(std::unique_ptr<IHttpConnection> connection, TrafficMeter &meter);

    void send(const HttpRequest &request, Handler handler) override;

private:
    std::unique_ptr<IHttpConnection> connection;
    TrafficMeter &meter;
};
}
