#pragma once

#include "membership/internal/factsmessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::membership {

//! The facts of one VM's process in order of version, as far as they are known.
class FactLog
{
public:
    using Value = std::vector<std::uint8_t>;
    using Changed = std::function<void(const std::string &key, const std::optional<Value> &value)>;

    FactLog() = default;
    FactLog(std::uint64_t start, std::uint64_t version) : start(start), version(version) { }

    std::uint64_t startOfProcess() const { return this->start; }

    //! All facts up to this version are known.
    std::uint64_t knownUpTo() const { return this->version; }

    //! Gives \a key the next version; an empty value withdraws it.
    void append(const std::string &key, const std::optional<Value> &value);

    std::optional<Value> value(const std::string &key) const;
    std::optional<std::uint64_t> versionOf(const std::string &key) const;
    const std::map<std::string, FactEntry> &entries() const { return this->byKey; }

    //! Facts after version \a after, oldest first, as many as fit in \a maxBytes.
    FactDelta deltaAfter(const std::string &origin, std::uint64_t after,
                         std::size_t maxBytes) const;

    //! Applies a delta of the same process; false if it does not connect or brings nothing.
    bool apply(const FactDelta &delta, const Changed &changed);

private:
    void put(const FactEntry &entry);

    std::uint64_t start = 0;
    std::uint64_t version = 0;
    std::map<std::string, FactEntry> byKey;
    std::map<std::uint64_t, std::string> byVersion;
};
}
