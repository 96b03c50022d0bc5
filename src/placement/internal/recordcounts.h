#pragma once

#include "placement/types/upstreamindex.h"

#include <cstdint>
#include <functional>
#include <map>

namespace radishladder::placement {

//! How many records this VM holds for each slot and upstream.
class RecordCounts
{
public:
    struct Key
    {
        ServiceIndex service = 0;
        std::uint32_t slot = 0;
        UpstreamIndex upstream = 0;

        auto operator<=>(const Key &) const = default;
    };

    void add(const Key &key) { ++this->counts[key]; }
    void remove(const Key &key);

    //! Calls \a visit for each slot and upstream with at least one record.
    void forEach(const std::function<void(const Key &)> &visit) const;

private:
    std::map<Key, std::uint32_t> counts;
};
}
