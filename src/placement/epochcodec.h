#pragma once

#include "global/reason.h"
#include "placement/types/epochdocument.h"

#include <optional>
#include <string>

namespace radishladder::placement {

//! Text form of epoch documents in the store.
class EpochCodec
{
public:
    std::string encode(const EpochDocument &document) const;

    //! std::nullopt if \a text is not a valid document (see lastReason()).
    std::optional<EpochDocument> decode(const std::string &text);

    const Reason &lastReason() const { return this->reason; }

private:
    Reason reason;
};
}
