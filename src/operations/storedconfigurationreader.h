#pragma once

#include "global/reason.h"
#include "store/types/storedvalue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::store {
class IConfigStore;
}

namespace radishladder::operations {
struct StoredConfiguration;

//! Reads the accepted configuration and its history from the store.
class StoredConfigurationReader
{
public:
    using Handler = std::function<void(std::optional<StoredConfiguration>, Reason)>;

    explicit StoredConfigurationReader(store::IConfigStore &store) : store(store) { }

    //! Reads history, head and parts, again if they changed meanwhile. \a handler is called once.
    void read(Handler handler);

private:
    struct Attempt;

    void readHistory(const std::shared_ptr<Attempt> &attempt);
    void readHead(const std::shared_ptr<Attempt> &attempt);
    void readParts(const std::shared_ptr<Attempt> &attempt);
    void finish(const std::shared_ptr<Attempt> &attempt,
                const std::vector<store::StoredValue> &parts);
    void retry(const std::shared_ptr<Attempt> &attempt, const Reason &reason);

    store::IConfigStore &store;
};
}
