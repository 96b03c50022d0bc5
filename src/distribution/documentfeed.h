#pragma once

#include "distribution/idocumentfeed.h"

#include <memory>

namespace radishladder {
class IClock;
class IRandom;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::store {
class IConfigStore;
}
namespace radishladder::telemetry {
class IMetrics;
class ITimeLine;
}

namespace radishladder::distribution {
class IDocumentSource;
struct DocumentBatch;

//! Documents by two watchers a data centre and by pulling from VMs that are ahead.
class DocumentFeed : public IDocumentFeed
{
public:
    DocumentFeed(const membership::IMembership &membership, store::IConfigStore &store,
                 IDocumentSource &source, IRandom &random, const IClock &clock,
                 telemetry::ITimeLine &timeLine, telemetry::IMetrics &metrics);
    ~DocumentFeed() override;

    std::optional<store::StoredValue> find(const std::string &key) const override;
    std::int64_t revision() const override;
    void subscribe(const std::string &prefix, Subscriber subscriber) override;
    void offer(const store::StoredValue &document) override;

    //! Revision of the newest document that is known here, though earlier ones may be missing.
    std::int64_t newestRevision() const;

    //! True while this VM watches the store for its data centre.
    bool isWatching() const;

    //! What another VM lacks that knows everything up to \a since.
    DocumentBatch batchAfter(std::int64_t since, std::int64_t vmListRevision) const;

    //! Call every 100 ms or so.
    void tick();

private:
    struct State;

    std::unique_ptr<State> state;
};
}
