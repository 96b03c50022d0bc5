#include "standins/networkmap.h"

namespace radishladder::standins {
void NetworkMap::place(std::uint32_t address, const DataCentreName &dataCentre)
{
    const std::scoped_lock lock(this->mutex);
    this->byAddress[address] = dataCentre;
}

void NetworkMap::setDelays(std::chrono::microseconds betweenDataCentres,
                           std::chrono::microseconds toCallers)
{
    this->betweenDataCentres = betweenDataCentres;
    this->toCallers = toCallers;
}

void NetworkMap::cut(const DataCentreName &one, const DataCentreName &other)
{
    const std::scoped_lock lock(this->mutex);
    ++this->cuts[ordered(one, other)];
}

void NetworkMap::heal(const DataCentreName &one, const DataCentreName &other)
{
    const std::scoped_lock lock(this->mutex);
    // Overlapping faults may cut the same pair twice: the last one to end heals it.
    const auto found = this->cuts.find(ordered(one, other));
    if (found != this->cuts.end() && --found->second <= 0) {
        this->cuts.erase(found);
    }
}

bool NetworkMap::isCut(std::uint32_t from, std::uint32_t to) const
{
    const std::scoped_lock lock(this->mutex);
    if (this->cuts.empty()) {
        return false;
    }
    const DataCentreName *source = this->find(from);
    const DataCentreName *target = this->find(to);
    return source != nullptr && target != nullptr && this->cuts.contains(ordered(*source, *target));
}

std::chrono::microseconds NetworkMap::delay(std::uint32_t from, std::uint32_t to) const
{
    const std::scoped_lock lock(this->mutex);
    const DataCentreName *source = this->find(from);
    const DataCentreName *target = this->find(to);
    const bool isFar = source != nullptr && target != nullptr && *source != *target;
    return isFar ? this->betweenDataCentres : std::chrono::microseconds(0);
}

NetworkMap::Pair NetworkMap::ordered(const DataCentreName &one, const DataCentreName &other)
{
    return one < other ? Pair(one, other) : Pair(other, one);
}

const DataCentreName *NetworkMap::find(std::uint32_t address) const
{
    const auto found = this->byAddress.find(address);
    return found == this->byAddress.end() ? nullptr : &found->second;
}
}
