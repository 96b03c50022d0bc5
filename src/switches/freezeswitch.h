#pragma once

#include "global/name.h"
#include "store/iprefixlistener.h"

#include <optional>
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
    //! Returns the state of the switch \a item: std::nullopt if it doesn't apply to this VM, the
    //! current state if its value is invalid.
    std::optional<bool> readState(const store::StoreItem &item);

    DataCentreName dataCentre;
    telemetry::IEventLog &log;
    bool frozen = false;
    std::string lastRejectedValue;
};
}
