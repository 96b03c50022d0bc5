#pragma once

#include <string>

namespace radishladder::store {

//! Is notified when short calls to the store begin to fail and when they succeed again. The result
//! of a watch does not show this: a watch whose response was lost looks like a watch without
//! changes.
class IConnectionListener
{
public:
    virtual ~IConnectionListener() = default;

    virtual void onStoreLost(const std::string &detail) = 0;

    //! Called when the store responds again after an outage.
    virtual void onStoreRestored() = 0;
};
}
