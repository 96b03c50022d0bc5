#include "operations/configurationfollower.h"

#include "settings/configurationcodec.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"
#include "store/iconfigstore.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"
#include "telemetry/itimeline.h"

#include <map>

namespace radishladder::operations {
ConfigurationFollower::ConfigurationFollower(store::IConfigStore &store,
                                             settings::ConfigurationHolder &holder,
                                             telemetry::ITimeLine &timeLine)
    : store(store), holder(holder), timeLine(timeLine)
{ }

void ConfigurationFollower::poll()
{
    if (this->outstanding) {
        return;
    }
    this->outstanding = true;
    this->store.list(std::string(store::kDocumentPrefix),
                     [this](const auto &values, std::int64_t, const Reason &reason) {
                         this->outstanding = false;
                         this->noteReach(reason);
                         if (values) {
                             this->accept(*values);
                         }
                     });
}

void ConfigurationFollower::noteReach(const Reason &reason)
{
    if (reason.code == this->lastFailure) {
        return;
    }
    this->lastFailure = reason.code;
    this->timeLine.record({.kind = reason.code == ResultCode::Ok ? "store.reached" : "store.failed",
                           .reason = reason.code,
                           .detail = reason.detail});
}

void ConfigurationFollower::accept(const std::vector<store::StoredValue> &values)
{
    std::map<std::string, std::string> byKey;
    for (const store::StoredValue &value : values) {
        byKey[value.key] = value.value;
    }
    const auto head = byKey.find(std::string(store::kConfigurationKey));
    if (head == byKey.end() || head->second == this->seenHead) {
        return;
    }
    this->seenHead = head->second;
    settings::ConfigurationCodec codec;
    auto configuration = codec.decode(head->second, [&byKey](const std::string &digest) {
        const auto part = byKey.find(std::string(store::kPartPrefix) + digest);
        return part == byKey.end() ? std::nullopt : std::make_optional(part->second);
    });
    if (!configuration) {
        const Reason &why = codec.lastReason();
        this->timeLine.record(
            {.kind = "configuration.refused", .reason = why.code, .detail = why.detail});
        return;
    }
    const std::string subject = std::to_string(configuration->generation);
    if (this->holder.accept(std::move(*configuration))) {
        this->timeLine.record({.kind = "configuration.accepted", .subject = subject});
    }
}
}
