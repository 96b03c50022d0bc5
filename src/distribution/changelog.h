#pragma once

#include "store/types/storeitem.h"

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
    //! Adds the answer to a watch that asked for changes after \a after.
    void extend(std::uint64_t after, const store::StoreListing &changes);

    //! Changes after \a revision; std::nullopt if some of them are no longer here.
    std::optional<std::vector<store::StoreItem>> since(std::uint64_t revision) const;

    //! Revision up to which every change was heard.
    std::uint64_t end() const { return this->last; }

private:
    void dropOldest();

    std::deque<store::StoreItem> items;
    std::size_t bytes = 0;

    //! All changes after this revision are here.
    std::uint64_t begin = 0;
    std::uint64_t last = 0;
};
}
