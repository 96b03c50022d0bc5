#pragma once

#include "net/types/httpheaders.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace radishladder::net {

//! An HTTP request to send.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds timeout{5000};
    std::chrono::milliseconds connectTimeout{1000};

    //! Address to send from; 0 leaves it to the system.
    std::uint32_t localAddress = 0;

    std::size_t maxAnswerBytes = 16 * 1024 * 1024;

    //! Never sent over a connection that was used before: such a call may be sent twice when the
    //! server closes the connection without an answer.
    bool freshConnection = false;

    //! If set, the body is handed over piece by piece as it arrives instead of being collected.
    std::function<void(std::string_view)> onData;
};
}
