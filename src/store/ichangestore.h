#pragma once

#include "store/iconfigstore.h"

#include <utility>

namespace radishladder::store {

//! The platform's store as operators' changes need it; VMs do without these calls.
class IChangeStore : public IConfigStore
{
public:
    //! Key and new value.
    using Write = std::pair<std::string, std::string>;

    //! Removes the key if its revision still is \a expected; reasons as for compareAndSwap().
    virtual void remove(const std::string &key, std::int64_t expected, WriteHandler handler) = 0;

    //! Makes all \a writes at one revision or none, if the revision of \a key still is \a expected.
    virtual void writeTogether(const std::string &key, std::int64_t expected,
                               const std::vector<Write> &writes, WriteHandler handler) = 0;
};
}
