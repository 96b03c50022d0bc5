#include "switches/freezeswitch.h"

#include "store/types/storeitem.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <absl/strings/str_cat.h>

namespace radishladder::switches {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;

constexpr const char *kPrefix = "switches/";
constexpr const char *kFreeze = "switches/freeze";
}

FreezeSwitch::FreezeSwitch(DataCentreName dataCentre, telemetry::IEventLog &log)
    : dataCentre(std::move(dataCentre)), log(log)
{ }

std::string FreezeSwitch::prefix()
{
    return kPrefix;
}

std::string FreezeSwitch::key(const std::optional<DataCentreName> &dataCentre)
{
    return dataCentre ? absl::StrCat(kFreeze, "/", dataCentre->str()) : kFreeze;
}

void FreezeSwitch::onSnapshot(const std::vector<store::StoreItem> &items)
{
    bool isOn = false;
    for (const store::StoreItem &item : items) {
        const std::optional<bool> state = this->readState(item);
        isOn = isOn || state.value_or(false);
    }
    if (isOn != this->frozen) {
        this->frozen = isOn;
        this->log.write(LogEntry(LogKind::State, isOn ? "freeze.on" : "freeze.off"));
    }
}

std::optional<bool> FreezeSwitch::readState(const store::StoreItem &item)
{
    if (item.key != key(std::nullopt) && item.key != key(this->dataCentre)) {
        return std::nullopt;
    }
    if (item.value == value(true) || item.value == value(false)) {
        return item.value == value(true);
    }
    // An invalid value doesn't change the state, and is logged once instead of with each poll.
    if (this->lastRejectedValue != item.value) {
        this->lastRejectedValue = item.value;
        this->log.write(LogEntry(LogKind::State, "freeze.rejected")
                            .text("key", item.key)
                            .text("detail", "the value is neither on nor off"));
    }
    return this->frozen;
}

void FreezeSwitch::onChanges(const std::vector<store::StoreItem> &items)
{
    this->onSnapshot(items);
}

void FreezeSwitch::onConnectionLost(const std::string &) { }

void FreezeSwitch::onConnectionRestored() { }
}
