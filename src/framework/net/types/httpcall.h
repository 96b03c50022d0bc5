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

    //! If set, the body is handed over piece by piece as it arrives instead of being collected.
    std::function<void(std::string_view)> onData;
};
}
