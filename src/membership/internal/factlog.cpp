#include "membership/internal/factlog.h"

namespace radishladder::membership {
namespace {
constexpr std::size_t kDeltaOverheadBytes = 32;
constexpr std::size_t kEntryOverheadBytes = 16;
}

void FactLog::append(const std::string &key, const std::optional<Value> &value)
{
    ++this->version;
    this->put({key, this->version, value.has_value(), value.value_or(Value())});
}

std::optional<FactLog::Value> FactLog::value(const std::string &key) const
{
    const auto entry = this->byKey.find(key);
    if (entry == this->byKey.end() || !entry->second.isPresent) {
        return std::nullopt;
    }
    return entry->second.value;
}

std::optional<std::uint64_t> FactLog::versionOf(const std::string &key) const
{
    const auto entry = this->byKey.find(key);
    return entry == this->byKey.end() ? std::nullopt : std::make_optional(entry->second.version);
}

FactDelta FactLog::deltaAfter(const std::string &origin, std::uint64_t after,
                              std::size_t maxBytes) const
{
    FactDelta delta{.origin = origin, .start = this->start, .after = after, .upTo = after};
    std::size_t bytes = origin.size() + kDeltaOverheadBytes;
    for (auto next = this->byVersion.upper_bound(after); next != this->byVersion.end(); ++next) {
        const FactEntry &entry = this->byKey.at(next->second);
        bytes += entry.key.size() + entry.value.size() + kEntryOverheadBytes;
        if (bytes > maxBytes) {
            return delta;
        }
        delta.entries.push_back(entry);
        delta.upTo = entry.version;
    }
    // Versions without an entry were replaced by later ones of the same key.
    delta.upTo = this->version;
    return delta;
}

bool FactLog::apply(const FactDelta &delta, const Changed &changed)
{
    if (delta.after > this->version || delta.upTo <= this->version) {
        return false;
    }
    for (const FactEntry &entry : delta.entries) {
        if (entry.version <= this->version || entry.version > delta.upTo) {
            continue;
        }
        const auto before = this->value(entry.key);
        this->put(entry);
        const auto after = this->value(entry.key);
        if (before != after) {
            changed(entry.key, after);
        }
    }
    this->version = delta.upTo;
    return true;
}

void FactLog::put(const FactEntry &entry)
{
    const auto old = this->byKey.find(entry.key);
    if (old != this->byKey.end()) {
        this->byVersion.erase(old->second.version);
    }
    this->byVersion[entry.version] = entry.key;
    this->byKey[entry.key] = entry;
}
}
