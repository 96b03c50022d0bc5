#pragma once

#include "global/name.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <utility>

namespace radishladder::standins {

//! Which address belongs to which data centre, how far they are apart, and what is cut. May be used
//! from any thread.
class NetworkMap
{
public:
    void place(std::uint32_t address, const DataCentreName &dataCentre);

    //! One-way delays.
    void setDelays(std::chrono::microseconds betweenDataCentres,
                   std::chrono::microseconds toCallers);

    void cut(const DataCentreName &one, const DataCentreName &other);
    void heal(const DataCentreName &one, const DataCentreName &other);

    //! True if no packet passes between the two addresses now.
    bool isCut(std::uint32_t from, std::uint32_t to) const;

    //! Zero within a data centre and for unplaced addresses.
    std::chrono::microseconds delay(std::uint32_t from, std::uint32_t to) const;

    std::chrono::microseconds callerDelay() const { return this->toCallers; }

private:
    using Pair = std::pair<DataCentreName, DataCentreName>;

    static Pair ordered(const DataCentreName &one, const DataCentreName &other);
    const DataCentreName *find(std::uint32_t address) const;

    mutable std::mutex mutex;
    std::map<std::uint32_t, DataCentreName> byAddress;
    std::map<Pair, int> cuts;
    std::chrono::microseconds betweenDataCentres{0};
    std::chrono::microseconds toCallers{0};
};
}
