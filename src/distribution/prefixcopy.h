#pragma once

#include "store/types/storeitem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace radishladder::store {
struct StoreListing;
}

namespace radishladder::distribution {

//! All items under one prefix as this VM has heard of them; does no I/O and reads no clock.
class PrefixCopy
{
public:
    //! Adds a page of a listing; the first one, behind an empty \a afterKey, starts the copy anew.
    void addPage(const std::string &afterKey, const store::StoreListing &page);

    //! Adds the answer to a watch that asked for changes after \a after.
    void extend(std::uint64_t after, const store::StoreListing &changes);

    //! Everything there is, with the revision from which to follow; std::nullopt if parts are
    //! missing.
    std::optional<store::StoreListing> listing() const;

private:
    void apply(const store::StoreItem &item);

    std::map<std::string, store::StoreItem> items;
    std::uint64_t revision = 0;
    bool isWhole = false;
};
}
