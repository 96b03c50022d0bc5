#include "operations/configurationfollower.h"

#include "distribution/idocumentfeed.h"
#include "settings/configurationcodec.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"
#include "telemetry/itimeline.h"

namespace radishladder::operations {
ConfigurationFollower::ConfigurationFollower(distribution::IDocumentFeed &feed,
                                             settings::ConfigurationHolder &holder,
                                             telemetry::ITimeLine &timeLine)
    : feed(feed), holder(holder), timeLine(timeLine)
{
    const auto retry = [this](const store::StoredValue &) { this->tryHead(); };
    feed.subscribe(std::string(store::kConfigurationKey), retry);
    feed.subscribe(std::string(store::kPartPrefix), retry);
}

void ConfigurationFollower::tryHead()
{
    const auto head = this->feed.find(std::string(store::kConfigurationKey));
    if (!head || head->value == this->settledHead) {
        return;
    }
    settings::ConfigurationCodec codec;
    auto configuration = codec.decode(head->value, [this](const std::string &digest) {
        const auto part = this->feed.find(std::string(store::kPartPrefix) + digest);
        return part ? std::make_optional(part->value) : std::nullopt;
    });
    if (!configuration) {
        const Reason &why = codec.lastReason();
        // Parts and head travel apart: a missing part is waited for, anything else is final.
        const bool isWaiting = why.code == ResultCode::StoreKeyMissing;
        std::string &noted = isWaiting ? this->waitingHead : this->settledHead;
        if (noted != head->value) {
            noted = head->value;
            this->timeLine.record(
                {.kind = isWaiting ? "configuration.incomplete" : "configuration.refused",
                 .reason = why.code,
                 .detail = why.detail});
        }
        return;
    }
    this->settledHead = head->value;
    const std::string subject = std::to_string(configuration->generation);
    if (this->holder.accept(std::move(*configuration))) {
        this->timeLine.record({.kind = "configuration.accepted", .subject = subject});
    }
}
}
