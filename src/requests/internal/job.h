#pragma once

#include "net/ihttpclient.h"
#include "net/types/httprequest.h"
#include "requests/internal/keyid.h"
#include "settings/types/service.h"

#include <memory>
#include <set>

namespace radishladder::net {
class IHttpResponder;
}

namespace radishladder::requests {

//! One request on its way to its only outcome.
struct Job
{
    using TimePoint = std::chrono::steady_clock::time_point;

    std::uint64_t number = 0;
    std::string id;
    settings::Service service;
    net::HttpRequest request;
    std::shared_ptr<net::IHttpResponder> responder;
    TimePoint arrivedAt{};
    TimePoint deadline{};
    bool wasHandedOver = false;
    bool isIdempotent = true;

    //! The VM that handed it over answers for its key.
    bool isClaimed = false;

    //! Set if the request runs at most once under a key that this VM answers for.
    std::optional<KeyId> key;

    //! Bytes of it may have reached an upstream.
    bool wasSent = false;
    std::set<UpstreamName> tried;

    UpstreamName upstream;
    TimePoint sentAt{};
    std::optional<net::IHttpClient::CallId> call;
};
}
