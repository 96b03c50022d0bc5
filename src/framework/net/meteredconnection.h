#pragma once

#include "net/ihttpconnection.h"

#include <memory>

namespace radishladder::net {
struct TrafficMeter;

//! A connection that counts what it carries.
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
