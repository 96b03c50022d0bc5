#pragma once

#include "store/types/storeitem.h"
#include "store/types/storerevision.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace radishladder::store {
struct StoreListing;
}

namespace radishladder::distribution {

//! The latest changes under one prefix, without a gap; does no I/O and reads no clock.
class ChangeLog
{
public:
    //! Adds the response to a watch for changes after \a after.
    void append(std::uint64_t after, const store::StoreListing &changes);

    //! Returns the changes after \a revision; std::nullopt if some of them have been discarded.
    std::optional<std::vector<store::StoreItem>> changesAfter(std::uint64_t revision) const;

    //! Revision up to which all changes have been received.
    std::uint64_t lastRevision() const { return this->endRevision.revision; }

private:
    void discardOldest();

    std::deque<store::StoreItem> items;
    std::size_t bytes = 0;

    //! The log contains all changes after this revision.
    std::uint64_t startRevision = 0;
    store::StoreRevision endRevision;
};
}
