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
    std::set<std::string> listed;
    for (const store::StoreItem &item : items) {
        listed.insert(item.key);
        this->readSwitch(item);
    }
    std::erase_if(this->keysOn,
                  [&listed](const std::string &key) { return !listed.contains(key); });
    this->updateState();
}

void FreezeSwitch::onChanges(const std::vector<store::StoreItem> &items)
{
    for (const store::StoreItem &item : items) {
        this->readSwitch(item);
    }
    this->updateState();
}

void FreezeSwitch::readSwitch(const store::StoreItem &item)
{
    if (item.key != key(std::nullopt) && item.key != key(this->dataCentre)) {
        return;
    }
    if (item.isRemoval || item.value == value(false)) {
        this->keysOn.erase(item.key);
        return;
    }
    if (item.value == value(true)) {
        this->keysOn.insert(item.key);
        return;
    }
    std::string &rejected = this->rejectedValues[item.key];
    if (rejected != item.value) {
        rejected = item.value;
        this->log.write(LogEntry(LogKind::State, "freeze.rejected")
                            .text("key", item.key)
                            .text("detail", "the value is neither on nor off"));
    }
}

void FreezeSwitch::updateState()
{
    const bool isOn = !this->keysOn.empty();
    if (isOn != this->frozen) {
        this->frozen = isOn;
        this->log.write(LogEntry(LogKind::State, isOn ? "freeze.on" : "freeze.off"));
    }
}

void FreezeSwitch::onConnectionLost(const std::string &) { }

void FreezeSwitch::onConnectionRestored() { }
}
