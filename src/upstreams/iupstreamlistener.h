#pragma once

#include "upstreams/types/upstreamid.h"

#include <string>
#include <vector>

namespace radishladder::upstreams {
struct Upstream;

//! Told of what upstreams say of themselves and of the store that carries it.
class IUpstreamListener
{
public:
    virtual ~IUpstreamListener() = default;

    //! Everything there is now.
    virtual void onUpstreams(const std::vector<Upstream> &all) = 0;

    virtual void onUpstream(const Upstream &upstream) = 0;

    //! The entry of \a id went.
    virtual void onUpstreamRemoved(UpstreamId id) = 0;

    //! The entry under \a key names no upstream to use; \a id is set if the key names one.
    virtual void onUpstreamRejected(const std::string &key, UpstreamId id,
                                    const std::string &detail) = 0;

    //! The store answered: what was told so far is all that there was.
    virtual void onUpToDate() = 0;

    virtual void onContactLost(const std::string &detail) = 0;
    virtual void onContactRegained() = 0;
};
}
