#pragma once

#include "distribution/idocumentfeed.h"
#include "store/types/storedvalue.h"

#include <algorithm>
#include <map>

namespace radishladder::placement::fakes {

//! Documents handed over by the test.
class FakeFeed : public distribution::IDocumentFeed
{
public:
    std::optional<store::StoredValue> find(const std::string &key) const override
    {
        const auto found = this->documents.find(key);
        return found == this->documents.end() ? std::nullopt : std::make_optional(found->second);
    }
    std::int64_t revision() const override { return this->newest; }
    void subscribe(const std::string &, Subscriber subscriber) override
    {
        this->subscriber = subscriber;
    }
    void offer(const store::StoredValue &document) override
    {
        store::StoredValue &held = this->documents[document.key];
        if (document.revision <= held.revision) {
            return;
        }
        held = document;
        this->newest = std::max(this->newest, document.revision);
        if (this->subscriber) {
            this->subscriber(document);
        }
    }

private:
    std::map<std::string, store::StoredValue> documents;
    std::int64_t newest = 0;
    Subscriber subscriber;
};
}
