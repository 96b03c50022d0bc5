#pragma once

#include "global/reason.h"

#include <chrono>
#include <optional>

namespace radishladder::net {
struct HttpRequest;
}
namespace radishladder::settings {
struct Configuration;
struct Service;
}

namespace radishladder::requests {

//! True if running a request with \a method twice has the effect of running it once.
bool isIdempotent(const std::string &method);

//! Service that \a request addresses; nullptr if there is none.
const settings::Service *serviceOf(const net::HttpRequest &request,
                                   const settings::Configuration &configuration);

//! Ok if \a request may be sent on to \a service.
Reason checkRequest(const net::HttpRequest &request, const settings::Service &service);

//! Time that the caller is ready to wait, at most \a longest; std::nullopt if it is malformed.
std::optional<std::chrono::milliseconds> timeLeft(const net::HttpRequest &request,
                                                  std::chrono::milliseconds longest);
}
