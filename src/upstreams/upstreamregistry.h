#pragma once

#include "global/name.h"
#include "upstreams/types/upstreamid.h"

#include <algorithm>
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

//! All upstreams with their last received entries, including upstreams that ended recently; does no
//! I/O and reads no clock.
class UpstreamRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Keeps the records of ended upstreams for \a goneRetention, since their flows may still
    //! drain.
    explicit UpstreamRegistry(std::chrono::milliseconds goneRetention);
    ~UpstreamRegistry();

    //! Adds or replaces the entry of an upstream and marks the upstream as present.
    void update(const Upstream &upstream, TimePoint now);

    //! Handles the removal of the entry of \a id. While the store is unstable, a missing entry does
    //! not show that the upstream has ended: the upstream becomes doubtful until
    //! markDoubtfulAsGone(). It becomes gone if the store is stable or the upstream was draining.
    void remove(UpstreamId id, bool isStoreStable, TimePoint now);

    //! Marks a present upstream as doubtful, also if it was draining: an entry that a restored
    //! store lacks does not show that the upstream has ended.
    void markDoubtful(UpstreamId id, TimePoint now);

    //! Records that the entry of \a id is invalid; update() and remove() end that.
    void markInvalid(UpstreamId id);

    //! Marks every doubtful upstream as gone and returns these upstreams. Called once the store has
    //! been stable long enough for live upstreams to write their entries again.
    std::vector<UpstreamId> markDoubtfulAsGone(TimePoint now);

    //! Erases the records of upstreams that ended longer ago than the retention time.
    void sweep(TimePoint now);

    //! Returns null if there is no record of \a id.
    const UpstreamRecord *find(UpstreamId id) const;

    //! Returns the upstream whose flows carry \a token; null if there is none.
    const UpstreamRecord *findByToken(std::uint32_t token) const;

    //! Returns the upstreams of \a service, including ended upstreams; the pointers are valid until
    //! the next change of the registry.
    const std::vector<UpstreamRecord *> &findByService(const ServiceName &service) const;

    //! Returns true if at least one upstream, ended upstreams included, matches \a predicate;
    //! stops at the first match.
    bool hasMatch(const std::function<bool(const UpstreamRecord &)> &predicate) const;

    //! Returns the identifiers of all upstreams that are present or doubtful.
    std::vector<UpstreamId> liveIds() const;

    //! Records that all entries of the store have been received at least once.
    void setSynchronized() { this->synchronized = true; }
    bool isSynchronized() const { return this->synchronized; }

    //! Sets whether the store has been stable for so long that an upstream without an entry has
    //! ended.
    void setReliable(bool isReliable) { this->reliable = isReliable; }
    bool isReliable() const { return this->reliable; }

    //! Records that every change that the store accepted before \a confirmed has been received.
    void recordConfirmation(TimePoint confirmed)
    {
        this->confirmationTime = std::max(this->confirmationTime, confirmed);
    }
    //! Forgets all confirmations: the store may have lost changes that it had accepted.
    void discardConfirmations() { this->confirmationTime = {}; }
    TimePoint confirmedAt() const { return this->confirmationTime; }

    std::size_t size() const { return this->records.size(); }
    bool hasDoubtful() const { return this->doubtfulCount > 0; }

private:
    void insert(const Upstream &upstream, TimePoint now);
    //! Assigns \a token to one of the upstreams that have it.
    void assignToken(std::uint32_t token);
    void releaseToken(const UpstreamRecord &record);
    void setPresence(UpstreamRecord &record, Presence next, TimePoint now);
    void erase(UpstreamId id);

    std::chrono::milliseconds goneRetention;
    std::size_t doubtfulCount = 0;
    bool synchronized = false;
    bool reliable = false;
    TimePoint confirmationTime;
    std::unordered_map<UpstreamId, std::unique_ptr<UpstreamRecord>> records;

    //! Records by token; the first one of each token holds it.
    std::unordered_map<std::uint32_t, std::vector<UpstreamRecord *>> tokens;
    std::unordered_map<ServiceName, std::vector<UpstreamRecord *>> services;
};
}
