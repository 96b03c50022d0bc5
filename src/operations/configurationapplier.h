#pragma once

#include "operations/types/storedconfiguration.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace radishladder::store {
class IChangeStore;
}

namespace radishladder::operations {
struct ApplyResult;

//! Brings one change into the store: parts first, then head and history together. A lost answer is
//! settled by reading back, so that the result is true whatever the store does.
class ConfigurationApplier
{
public:
    using Handler = std::function<void(ApplyResult)>;

    explicit ConfigurationApplier(store::IChangeStore &store);
    ~ConfigurationApplier();

    //! Applies \a wanted as \a change, whose change id is unique and whose generation is given
    //! here. \a handler is called once.
    void apply(settings::Configuration wanted, ChangeRecord change, Handler handler);

private:
    struct Run;

    store::IChangeStore &store;
    std::shared_ptr<Run> run;
};
}
