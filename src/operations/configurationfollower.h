#pragma once

#include "global/reason.h"

#include <string>
#include <vector>

namespace radishladder::settings {
class ConfigurationHolder;
}
namespace radishladder::store {
class IConfigStore;
struct StoredValue;
}
namespace radishladder::telemetry {
class ITimeLine;
}

namespace radishladder::operations {

//! Brings the accepted configuration from the platform's store into force on this VM.
class ConfigurationFollower
{
public:
    ConfigurationFollower(store::IConfigStore &store, settings::ConfigurationHolder &holder,
                          telemetry::ITimeLine &timeLine);

    //! Asks the store for the current configuration unless an answer is outstanding.
    void poll();

private:
    void noteReach(const Reason &reason);
    void accept(const std::vector<store::StoredValue> &values);

    store::IConfigStore &store;
    settings::ConfigurationHolder &holder;
    telemetry::ITimeLine &timeLine;
    bool outstanding = false;
    std::string seenHead;
    ResultCode lastFailure = ResultCode::Ok;
};
}
