#include "distribution/internal/documenttable.h"

#include "store/storekeys.h"

#include <algorithm>

namespace radishladder::distribution {
bool DocumentTable::accept(const store::StoredValue &document)
{
    const auto known = this->byKey.find(document.key);
    if (known != this->byKey.end() && document.revision <= known->second.revision) {
        return false;
    }
    if (document.key.starts_with(store::kDocumentPrefix)) {
        if (known != this->byKey.end()) {
            const auto [first, last] = this->byRevision.equal_range(known->second.revision);
            this->byRevision.erase(std::find_if(first, last, [&document](const auto &item) {
                return item.second == document.key;
            }));
        }
        this->byRevision.emplace(document.revision, document.key);
    }
    this->byKey[document.key] = document;
    return true;
}

const store::StoredValue *DocumentTable::find(const std::string &key) const
{
    const auto document = this->byKey.find(key);
    return document == this->byKey.end() ? nullptr : &document->second;
}

void DocumentTable::forEach(const std::string &prefix,
                            const std::function<void(const store::StoredValue &)> &visit) const
{
    for (auto document = this->byKey.lower_bound(prefix);
         document != this->byKey.end() && document->first.starts_with(prefix); ++document) {
        visit(document->second);
    }
}

std::int64_t DocumentTable::newest() const
{
    return this->byRevision.empty() ? 0 : this->byRevision.rbegin()->first;
}

DocumentBatch DocumentTable::after(std::int64_t since, std::size_t maxBytes) const
{
    DocumentBatch batch{.upTo = since};
    std::size_t bytes = 0;
    for (auto next = this->byRevision.upper_bound(since); next != this->byRevision.end(); ++next) {
        const store::StoredValue &document = this->byKey.at(next->second);
        bytes += document.key.size() + document.value.size();
        // One revision may hold several keys: it goes whole or not at all.
        if (bytes > maxBytes && !batch.documents.empty() && next->first != batch.upTo) {
            batch.isCut = true;
            return batch;
        }
        batch.documents.push_back(document);
        batch.upTo = next->first;
    }
    return batch;
}
}
