#pragma once

#include "global/name.h"
#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace radishladder::upstreams {
struct Upstream;
enum class Presence : std::uint8_t;
struct UpstreamRecord;

//! All upstreams as last heard, with those that ended lately; does no I/O and reads no clock.
class UpstreamRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Upstreams that ended are remembered for \a keepGone, since their flows may still drain.
    explicit UpstreamRegistry(std::chrono::milliseconds keepGone);
    ~UpstreamRegistry();

    //! Adds or replaces the entry of an upstream that is there.
    void update(const Upstream &upstream, TimePoint now);

    //! The entry went. While the store is unstable that proves nothing: the upstream is then only
    //! doubtful until confirmGone().
    void remove(UpstreamId id, bool isStoreStable, TimePoint now);

    //! Takes every doubtful upstream as gone: the store has been stable long enough for live ones
    //! to have come back. Returns those that ended.
    std::vector<UpstreamId> confirmGone(TimePoint now);

    //! Forgets upstreams that ended longer than the kept time ago.
    void sweep(TimePoint now);

    //! Null if unknown.
    const UpstreamRecord *find(UpstreamId id) const;

    //! Upstream whose flows carry \a token; null if unknown.
    const UpstreamRecord *findByToken(std::uint32_t token) const;

    //! Upstreams of \a service, ended ones included; the pointers hold until the next change.
    const std::vector<UpstreamRecord *> &ofService(const ServiceName &service) const;

    //! True if \a holds is true of an upstream, ended ones included; asks no further ones then.
    bool any(const std::function<bool(const UpstreamRecord &)> &holds) const;

    //! Identifiers of all upstreams that have not ended.
    std::vector<UpstreamId> live() const;

    //! Everything there is was heard once.
    void setSynchronized() { this->synchronized = true; }
    bool isSynchronized() const { return this->synchronized; }

    //! The store has been stable for so long that an upstream without an entry does not live.
    void setTrusted(bool isTrusted) { this->trusted = isTrusted; }
    bool isTrusted() const { return this->trusted; }

    //! The store has said at \a now that there is nothing else.
    void setConfirmed(TimePoint now) { this->confirmed = now; }
    TimePoint confirmedAt() const { return this->confirmed; }

    std::size_t size() const { return this->records.size(); }
    bool hasDoubtful() const { return this->doubtful > 0; }

private:
    void insert(const Upstream &upstream, TimePoint now);
    void claimToken(UpstreamRecord &record);
    void releaseToken(const UpstreamRecord &record);
    void setPresence(UpstreamRecord &record, Presence next, TimePoint now);
    void forget(UpstreamId id);

    std::chrono::milliseconds keepGone;
    std::size_t doubtful = 0;
    bool synchronized = false;
    bool trusted = false;
    TimePoint confirmed;
    std::unordered_map<UpstreamId, std::unique_ptr<UpstreamRecord>> records;
    std::unordered_map<std::uint32_t, UpstreamRecord *> tokens;
    std::unordered_map<ServiceName, std::vector<UpstreamRecord *>> services;
};
}
