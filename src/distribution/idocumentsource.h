#pragma once

#include "global/reason.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace radishladder::membership {
struct Member;
}

namespace radishladder::distribution {
struct DocumentBatch;

//! Fetches documents from other VMs.
class IDocumentSource
{
public:
    using Handler = std::function<void(std::optional<DocumentBatch> batch, Reason reason)>;

    virtual ~IDocumentSource() = default;

    //! Asks \a from for what changed after \a since, and for the list of VMs if it is newer than
    //! \a vmListRevision; \a handler is called once on the event loop.
    virtual void pull(const membership::Member &from, std::int64_t since,
                      std::int64_t vmListRevision, Handler handler) = 0;
};
}
