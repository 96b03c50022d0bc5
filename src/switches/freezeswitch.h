#pragma once

#include "global/name.h"
#include "store/iprefixlistener.h"

#include <optional>
#include <string>

namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::switches {

//! Whether operators have frozen automatic actions everywhere or in the data centre of this VM.
class FreezeSwitch : public store::IPrefixListener
{
public:
    FreezeSwitch(DataCentreName dataCentre, telemetry::IEventLog &log);

    //! Prefix of the keys of all switches.
    static std::string prefix();

    //! Key of the switch of \a dataCentre; std::nullopt for the one of the whole fleet.
    static std::string key(const std::optional<DataCentreName> &dataCentre);

    //! Value of a switch.
    static std::string value(bool isFrozen) { return isFrozen ? "on" : "off"; }

    bool isFrozen() const { return this->frozen; }

    void onSnapshot(const std::vector<store::StoreItem> &items) override;
    void onChanges(const std::vector<store::StoreItem> &items) override;
    void onContactLost(const std::string &detail) override;
    void onContactRegained() override;

private:
    //! What the switch \a item says; std::nullopt if it is not of this VM or cannot be read.
    std::optional<bool> read(const store::StoreItem &item);

    DataCentreName dataCentre;
    telemetry::IEventLog &log;
    bool frozen = false;
    std::string lastRejected;
};
}
