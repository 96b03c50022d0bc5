#pragma once

#include "store/types/storeitem.h"
#include "store/types/storerevision.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace radishladder::store {
struct StoreListing;
}

namespace radishladder::distribution {

//! All items under one prefix that this VM has received; does no I/O and reads no clock.
class PrefixSnapshot
{
public:
    //! Adds a page of a listing; the first page, which has an empty \a afterKey, replaces the
    //! snapshot. A page of an older era is ignored.
    void addPage(const std::string &afterKey, const store::StoreListing &page);

    //! Applies the response to a watch for changes after \a after. Changes of another era can't be
    //! applied; if it is newer, the snapshot is incomplete from then on.
    void applyChanges(std::uint64_t after, const store::StoreListing &changes);

    //! Returns true if no items or changes are missing.
    bool isWhole() const { return this->isComplete; }

    //! Revision from which to watch.
    store::StoreRevision storeRevision() const { return this->revision; }

    //! Returns all items, with the revision from which to watch; std::nullopt if items or changes
    //! are missing.
    std::optional<store::StoreListing> listing() const;

private:
    void applyItem(const store::StoreItem &item);

    std::map<std::string, store::StoreItem> items;
    store::StoreRevision revision;
    bool isComplete = false;
};
}
