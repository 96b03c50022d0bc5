#pragma once

#include "global/name.h"
#include "store/iprefixlistener.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::switches {

//! Tracks whether operators have frozen automatic actions in the whole fleet or in the data centre
//! of this VM. A freeze that a restored store lacks, or has as off, is kept until operators write
//! the switch again.
class FreezeSwitch : public store::IPrefixListener
{
public:
    FreezeSwitch(DataCentreName dataCentre, telemetry::IEventLog &log);

    //! Returns the key prefix of all switches.
    static std::string prefix();

    //! Returns the key of the switch of \a dataCentre, or of the whole fleet for std::nullopt.
    static std::string key(const std::optional<DataCentreName> &dataCentre);

    //! Returns the stored value of a switch.
    static std::string value(bool isFrozen) { return isFrozen ? "on" : "off"; }

    bool isFrozen() const { return this->frozen; }

    void onSnapshot(const std::vector<store::StoreItem> &items) override;
    void onChanges(const std::vector<store::StoreItem> &items) override;
    void onEraChanged() override;
    void onConnectionLost(const std::string &detail) override;
    void onConnectionRestored() override;

private:
    //! Updates the state of the switch \a item, if it applies to this VM and its value is valid.
    void readSwitch(const store::StoreItem &item);
    //! Returns true if the switch \a key, which is on, stays on although a listing has it as off
    //! with \a revision, or lacks it (0).
    bool isKept(const std::string &key, std::uint64_t revision);
    void updateState();

    DataCentreName dataCentre;
    telemetry::IEventLog &log;
    bool frozen = false;

    //! Keys of the switches that are on and apply to this VM.
    std::set<std::string> keysOn;

    //! Switches that were on when the store was restored and have not been written since, each with
    //! its revision in the first listing of the restored store (0 if the listing lacks it).
    std::map<std::string, std::optional<std::uint64_t>> restoredRevisions;

    //! Last invalid value by key; each is logged once instead of with each poll.
    std::map<std::string, std::string> rejectedValues;
};
}
