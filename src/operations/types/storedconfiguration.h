#pragma once

#include "operations/types/changehistory.h"
#include "settings/types/configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace radishladder::operations {

//! Everything that the store holds of the configuration, read consistently.
struct StoredConfiguration
{
    settings::Configuration configuration;

    //! 0 if the store holds no head yet.
    std::int64_t headRevision = 0;
    std::vector<std::string> digests;
    ChangeHistory history;
    std::int64_t historyRevision = 0;

    //! The history was written together with this head, so that it tells of every change.
    bool isHistoryComplete = false;

    //! Revisions of all parts by digest.
    std::map<std::string, std::int64_t> partRevisions;
};
}
