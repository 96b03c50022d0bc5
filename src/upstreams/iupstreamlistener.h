#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishladder::upstreams {
struct Upstream;

//! Receives the entries that upstreams write into the store, and the state of the connection to the
//! store.
class IUpstreamListener
{
public:
    virtual ~IUpstreamListener() = default;

    //! Called before the entries of a complete listing are reported, invalid ones first.
    virtual void onListingBegins() { }

    //! Called with all upstreams that have a valid entry; the others have none, or one that was
    //! rejected since onListingBegins().
    virtual void onUpstreamsListed(const std::vector<Upstream> &all) = 0;

    //! Called when the entry of \a upstream was added or changed.
    virtual void onUpstreamChanged(const Upstream &upstream) = 0;

    //! Called when the entry of \a id was removed.
    virtual void onUpstreamRemoved(UpstreamId id) = 0;

    //! Called when the entry under \a key is invalid; \a id is set if the key contains a valid
    //! identifier.
    virtual void onUpstreamRejected(const std::string &key, UpstreamId id,
                                    const std::string &detail) = 0;

    //! Called when every change that the store accepted before \a confirmedAt has been reported.
    virtual void onUpToDate(std::chrono::steady_clock::time_point confirmedAt) = 0;

    //! Called before the first listing of a store that was restored from an older copy.
    virtual void onEraChanged() { }

    virtual void onConnectionLost(const std::string &detail) = 0;
    virtual void onConnectionRestored() = 0;
};
}
