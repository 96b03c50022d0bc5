#pragma once

#include "global/name.h"
#include "store/iprefixlistener.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::switches {

//! Tracks whether operators have frozen automatic actions in the whole fleet or in the data centre
//! of this VM.
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
    void onConnectionLost(const std::string &detail) override;
    void onConnectionRestored() override;

private:
    //! Updates the state of the switch \a item, if it applies to this VM and its value is valid.
    void readSwitch(const store::StoreItem &item);
    void updateState();

    DataCentreName dataCentre;
    telemetry::IEventLog &log;
    bool frozen = false;

    //! Keys of the switches that are on and apply to this VM.
    std::set<std::string> keysOn;

    //! Last invalid value by key; each is logged once instead of with each poll.
    std::map<std::string, std::string> rejectedValues;
};
}
