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
    std::erase_if(this->keysOn, [this, &listed](const std::string &key) {
        return !listed.contains(key) && !this->isKept(key, 0);
    });
    this->updateState();
}

void FreezeSwitch::onChanges(const std::vector<store::StoreItem> &items)
{
    for (const store::StoreItem &item : items) {
        // A change has been made since the restore, so it is an operator's.
        if (item.isRemoval || item.value == value(false)) {
            this->restoredRevisions.erase(item.key);
        }
        this->readSwitch(item);
    }
    this->updateState();
}

void FreezeSwitch::onEraChanged()
{
    this->restoredRevisions.clear();
    for (const std::string &key : this->keysOn) {
        this->restoredRevisions.emplace(key, std::nullopt);
    }
}

bool FreezeSwitch::isKept(const std::string &key, std::uint64_t revision)
{
    const auto restored = this->restoredRevisions.find(key);
    if (restored == this->restoredRevisions.end()) {
        return false;
    }
    if (!restored->second) {
        restored->second = revision;
        this->log.write(LogEntry(LogKind::State, "freeze.kept").text("key", key));
    }
    // Only a value with another revision than in the first listing has been written since.
    if (revision == 0 || revision == restored->second) {
        return true;
    }
    this->restoredRevisions.erase(restored);
    return false;
}

void FreezeSwitch::readSwitch(const store::StoreItem &item)
{
    if (item.key != key(std::nullopt) && item.key != key(this->dataCentre)) {
        return;
    }
    if (item.isRemoval || item.value == value(false)) {
        if (!this->isKept(item.key, item.revision)) {
            this->keysOn.erase(item.key);
        }
        return;
    }
    if (item.value == value(true)) {
        this->keysOn.insert(item.key);
        this->restoredRevisions.erase(item.key);
        return;
    }
    const auto restored = this->restoredRevisions.find(item.key);
    if (restored != this->restoredRevisions.end() && !restored->second) {
        restored->second = item.revision;
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
