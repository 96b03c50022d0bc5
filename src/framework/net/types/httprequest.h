#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace radishladder::net {

//! Methods that the client sends and the server tells apart.
enum class HttpMethod : std::uint8_t {
    Get,
    Post,
    Delete,
};

//! One request; on the server's side the timeout says nothing.
struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;

    //! Path without the query.
    std::string path;

    //! Text behind the question mark, already percent-encoded.
    std::string query;

    std::string body;

    //! The request fails if its answer is not complete by then.
    std::chrono::milliseconds timeout{2000};
};
}
