#pragma once

#include "global/reason.h"

#include <optional>

namespace radishladder::operations {
struct Explanation;
struct ExplainQuestion;

//! Tells which upstream a flow or request would get, without placing it. Called on the event loop.
class IExplainer
{
public:
    virtual ~IExplainer() = default;

    //! std::nullopt if the service is unknown (see lastReason()).
    virtual std::optional<Explanation> explain(const ExplainQuestion &question) = 0;
    virtual Reason lastReason() const = 0;
};
}
