#pragma once

#include <string>

namespace radishladder::store {

//! Told whether the store answers short calls. A waiting watch cannot tell: one whose answer was
//! lost looks like one without changes.
class IContactListener
{
public:
    virtual ~IContactListener() = default;

    virtual void onStoreTrouble(const std::string &detail) = 0;

    //! The store answers again after trouble.
    virtual void onStoreReturned() = 0;
};
}
