#include "operations/storedconfigurationreader.h"

#include "operations/changehistorycodec.h"
#include "operations/types/storedconfiguration.h"
#include "settings/configurationcodec.h"
#include "settings/configurationreader.h"
#include "settings/jsonfile.h"
#include "store/iconfigstore.h"
#include "store/storekeys.h"

namespace radishladder::operations {
namespace {
constexpr int kAttempts = 4;

bool decodeHead(const std::string &head, const std::vector<store::StoredValue> &parts,
                StoredConfiguration &stored, Reason &reason)
{
    std::map<std::string, std::string> textByDigest;
    for (const store::StoredValue &part : parts) {
        textByDigest[part.key.substr(store::kPartPrefix.size())] = part.value;
    }
    settings::ConfigurationCodec codec;
    const auto findPart = [&textByDigest](const std::string &digest) {
        const auto found = textByDigest.find(digest);
        return found == textByDigest.end() ? std::nullopt : std::make_optional(found->second);
    };
    auto configuration = codec.decode(head, findPart);
    if (!configuration) {
        reason = codec.lastReason();
        return false;
    }
    stored.configuration = std::move(*configuration);
    stored.digests = codec.digests(head, findPart).value_or(std::vector<std::string>());
    return true;
}

//! Takes generation and change id of a head and leaves its services out.
void decodeBareHead(const std::string &head, StoredConfiguration &stored)
{
    Reason reason;
    auto json = settings::parseJson(head, "configuration head", reason);
    if (json && json->isObject()) {
        json->removeMember("groups");
        (*json)["services"] = Json::Value(Json::arrayValue);
        stored.configuration =
            settings::ConfigurationReader().read(*json).value_or(settings::Configuration());
    }
}
}

struct StoredConfigurationReader::Attempt
{
    Handler handler;
    int left = kAttempts;
    std::optional<store::StoredValue> history;
    std::optional<store::StoredValue> head;
};

void StoredConfigurationReader::read(Handler handler)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->handler = std::move(handler);
    this->readHistory(attempt);
}

void StoredConfigurationReader::readHistory(const std::shared_ptr<Attempt> &attempt)
{
    // History first: a change between the two reads then shows as a head newer than its history.
    this->store.get(std::string(store::kHistoryKey),
                    [this, attempt](auto value, auto, const Reason &reason) {
                        if (!value && reason.code != ResultCode::StoreKeyMissing) {
                            this->retry(attempt, reason);
                            return;
                        }
                        attempt->history = std::move(value);
                        this->readHead(attempt);
                    });
}

void StoredConfigurationReader::readHead(const std::shared_ptr<Attempt> &attempt)
{
    this->store.get(std::string(store::kConfigurationKey),
                    [this, attempt](auto value, auto, const Reason &reason) {
                        if (!value && reason.code != ResultCode::StoreKeyMissing) {
                            this->retry(attempt, reason);
                            return;
                        }
                        attempt->head = std::move(value);
                        this->readParts(attempt);
                    });
}

void StoredConfigurationReader::readParts(const std::shared_ptr<Attempt> &attempt)
{
    this->store.list(std::string(store::kPartPrefix),
                     [this, attempt](const auto &values, auto, const Reason &reason) {
                         if (!values) {
                             this->retry(attempt, reason);
                             return;
                         }
                         this->finish(attempt, *values);
                     });
}

void StoredConfigurationReader::finish(const std::shared_ptr<Attempt> &attempt,
                                       const std::vector<store::StoredValue> &parts)
{
    StoredConfiguration stored;
    stored.historyRevision = attempt->history ? attempt->history->revision : 0;
    stored.headRevision = attempt->head ? attempt->head->revision : 0;
    stored.isHistoryComplete = stored.historyRevision == stored.headRevision;
    if (stored.historyRevision > stored.headRevision) {
        this->retry(attempt, {ResultCode::StoreAnswerInvalid, "the store answers with old values"});
        return;
    }
    // A head without its history is either read during a change or written by another program.
    if (!stored.isHistoryComplete && attempt->left > 1) {
        this->retry(attempt, {});
        return;
    }
    Reason reason;
    if (attempt->history) {
        auto history = operations::readHistory(attempt->history->value, reason);
        if (!history) {
            this->retry(attempt, reason);
            return;
        }
        stored.history = std::move(*history);
    }
    for (const store::StoredValue &part : parts) {
        stored.partRevisions[part.key.substr(store::kPartPrefix.size())] = part.revision;
    }
    if (attempt->head && !decodeHead(attempt->head->value, parts, stored, reason)) {
        if (attempt->left > 1) {
            this->retry(attempt, reason);
            return;
        }
        // The next change must be able to replace a head whose parts are lost.
        decodeBareHead(attempt->head->value, stored);
    }
    attempt->handler(std::move(stored), {});
}

void StoredConfigurationReader::retry(const std::shared_ptr<Attempt> &attempt, const Reason &reason)
{
    if (--attempt->left <= 0) {
        attempt->handler(std::nullopt, reason);
        return;
    }
    this->readHistory(attempt);
}
}
