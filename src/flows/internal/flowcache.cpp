#include "flows/internal/flowcache.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace radishladder::flows {
namespace {
constexpr FlowTime kOpening = 1U << kFlowTimeBits;
constexpr FlowTime kAdmitted = 2U << kFlowTimeBits;
constexpr std::size_t kSweepParts = 300;
}

FlowCache::FlowCache(std::size_t capacity)
    : sets(std::bit_ceil(std::max<std::size_t>(capacity / kWays, 1)))
{ }

FlowCache::Set &FlowCache::setOf(std::uint64_t hash)
{
    return this->sets[hash & (this->sets.size() - 1)];
}

const FlowCache::Entry *FlowCache::entryOf(std::uint64_t hash) const
{
    for (const Entry &entry : this->sets[hash & (this->sets.size() - 1)].entries) {
        if (entry.hash == hash && entry.upstream != placement::kNoUpstream) {
            return &entry;
        }
    }
    return nullptr;
}

FlowCache::Entry *FlowCache::entryOf(std::uint64_t hash)
{
    return const_cast<Entry *>(static_cast<const FlowCache *>(this)->entryOf(hash));
}

std::optional<placement::UpstreamIndex> FlowCache::find(std::uint64_t hash, FlowTime now,
                                                        std::chrono::milliseconds trust)
{
    this->applyWaiting();
    const Entry *entry = this->entryOf(hash);
    if (entry == nullptr || flowAge(now, entry->stamp) > trust) {
        return std::nullopt;
    }
    return entry->upstream;
}

bool FlowCache::isOpening(std::uint64_t hash, placement::UpstreamIndex upstream, FlowTime now)
{
    this->applyWaiting();
    // A caller gives up sending its first packet again after about two minutes.
    constexpr std::chrono::milliseconds kOpeningLimit{127000};
    const Entry *entry = this->entryOf(hash);
    return entry != nullptr && entry->upstream == upstream && (entry->stamp & kOpening) != 0
        && flowAge(now, entry->stamp) <= kOpeningLimit;
}

void FlowCache::touch(std::uint64_t hash, placement::UpstreamIndex upstream,
                      const PacketInfo &packet, FlowTime now)
{
    this->applyWaiting();
    this->apply({hash, upstream, now, packet.opens, packet.finishes || packet.resets});
}

void FlowCache::touchSoon(std::uint64_t hash, placement::UpstreamIndex upstream,
                          const PacketInfo &packet, FlowTime now)
{
    // At a million flows the entry lies in main memory, and the verdict need not wait for it.
    __builtin_prefetch(&this->setOf(hash), 1);
    Touch &place = this->waiting[(this->oldestWaiting + this->waitingCount) % kWaiting];
    if (this->waitingCount == kWaiting) {
        this->apply(place);
        this->oldestWaiting = (this->oldestWaiting + 1) % kWaiting;
    } else {
        ++this->waitingCount;
    }
    place = {hash, upstream, now, packet.opens, packet.finishes || packet.resets};
}

void FlowCache::applyWaiting()
{
    for (; this->waitingCount > 0; --this->waitingCount) {
        this->apply(this->waiting[this->oldestWaiting]);
        this->oldestWaiting = (this->oldestWaiting + 1) % kWaiting;
    }
}

void FlowCache::apply(const Touch &touch)
{
    Entry *entry = this->entryOf(touch.hash);
    if (entry == nullptr) {
        entry = &this->victimOf(touch.hash, touch.now);
        this->clear(*entry);
        entry->hash = touch.hash;
        ++this->used;
    } else if (entry->upstream != touch.upstream) {
        this->release(*entry);
    }
    const FlowTime admitted = entry->stamp & kAdmitted;
    entry->upstream = touch.upstream;
    entry->stamp = touch.now | admitted | (touch.opens ? kOpening : 0);
    if (touch.ends) {
        this->release(*entry);
    }
}

void FlowCache::markAdmitted(std::uint64_t hash)
{
    this->applyWaiting();
    if (Entry *entry = this->entryOf(hash)) {
        this->release(*entry);
        entry->stamp |= kAdmitted;
    }
}

void FlowCache::erase(std::uint64_t hash)
{
    this->applyWaiting();
    if (Entry *entry = this->entryOf(hash)) {
        this->clear(*entry);
    }
}

void FlowCache::correct(std::uint64_t hash, placement::UpstreamIndex upstream)
{
    this->applyWaiting();
    if (Entry *entry = this->entryOf(hash)) {
        this->release(*entry);
        entry->upstream = upstream;
    }
}

FlowCache::Entry &FlowCache::victimOf(std::uint64_t hash, FlowTime now)
{
    auto &entries = this->setOf(hash).entries;
    const auto idle = [now](const Entry &entry) {
        return entry.upstream == placement::kNoUpstream ? std::chrono::milliseconds::max()
                                                        : flowAge(now, entry.stamp);
    };
    return *std::ranges::max_element(entries, {}, idle);
}

void FlowCache::clear(Entry &entry)
{
    if (entry.upstream == placement::kNoUpstream) {
        return;
    }
    this->release(entry);
    entry = Entry{};
    --this->used;
}

void FlowCache::release(Entry &entry)
{
    if ((entry.stamp & kAdmitted) != 0) {
        this->ended.push_back(entry.upstream);
        entry.stamp &= ~kAdmitted;
    }
}

void FlowCache::sweep(FlowTime now, std::chrono::milliseconds limit)
{
    this->applyWaiting();
    const std::size_t part = this->sets.size() / kSweepParts + 1;
    for (std::size_t i = 0; i < part; ++i) {
        this->cursor = (this->cursor + 1) & (this->sets.size() - 1);
        for (Entry &entry : this->sets[this->cursor].entries) {
            if (entry.upstream != placement::kNoUpstream && flowAge(now, entry.stamp) > limit) {
                this->clear(entry);
            }
        }
    }
}

std::vector<placement::UpstreamIndex> FlowCache::takeEnded()
{
    return std::exchange(this->ended, {});
}
}
