#pragma once

#include <string>
#include <vector>

namespace radishladder::store {
struct StoreItem;

//! Told of everything under one prefix.
class IPrefixListener
{
public:
    virtual ~IPrefixListener() = default;

    //! All items there are now; what is not among them is not there.
    virtual void onSnapshot(const std::vector<StoreItem> &items) = 0;

    //! Changes in the order of their revisions.
    virtual void onChanges(const std::vector<StoreItem> &items) = 0;

    //! The store answered: what was told so far is all that there was.
    virtual void onUpToDate() { }

    //! The store cannot be reached or refuses; \a detail says how.
    virtual void onContactLost(const std::string &detail) = 0;

    //! The store answers again; the changes missed meanwhile follow.
    virtual void onContactRegained() = 0;
};
}
