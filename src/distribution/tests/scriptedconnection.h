#pragma once

#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

#include <string>

namespace radishladder::distribution {

//! Responds to every request at once with the same status and body.
class ScriptedConnection : public net::IHttpConnection
{
public:
    ScriptedConnection(int status, std::string body) : status(status), body(std::move(body)) { }

    void send(const net::HttpRequest &, Handler handler) override
    {
        handler({.status = this->status, .body = this->body});
    }

private:
    int status;
    std::string body;
};
}
