#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace radishladder::net {

//! HTTP methods that the client sends; the server handles all other methods as Get.
enum class HttpMethod : std::uint8_t {
    Get,
    Post,
    Delete,
};

//! HTTP request, sent by a client or received by a server.
struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;

    //! Path without the query.
    std::string path;

    //! Text after the question mark, percent-encoded.
    std::string query;

    std::string body;

    //! The request fails if its connection makes no progress for this long, for example while the
    //! client waits for the response; the server does not use this field.
    std::chrono::milliseconds timeout{2000};

    //! Replaces the timeout once a part of the response has arrived, for a response that takes long
    //! to begin but not to arrive; std::nullopt to keep the timeout. The server does not use this
    //! field.
    std::optional<std::chrono::milliseconds> progressTimeout;

    //! The request fails if its response isn't complete after this time; std::nullopt for no such
    //! limit. The server does not use this field.
    std::optional<std::chrono::milliseconds> maxDuration;

    //! Name of the response header that the client passes on; empty for none. The server does not
    //! use this field.
    std::string responseHeader;
};
}
