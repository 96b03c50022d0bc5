#pragma once

#include "global/reason.h"
#include "upstreams/types/observation.h"

#include <cstdint>
#include <string>

namespace radishladder::net {
struct HttpResult;
}

namespace radishladder::requests {

//! What one attempt at an upstream proved.
struct AttemptOutcome
{
    enum class Kind : std::uint8_t {
        //! The whole answer to this request arrived.
        Whole,

        //! No byte reached the upstream, or it refused without running.
        NotRun,

        //! Something was sent and no whole answer came back.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    upstreams::Observation observation = upstreams::Observation::Silent;
    std::string detail;
};

//! Judges the \a result of a request sent with \a requestId and \a method.
AttemptOutcome judgeAttempt(const net::HttpResult &result, const std::string &requestId,
                            const std::string &method);
}
