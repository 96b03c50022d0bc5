#pragma once

#include "operations/configurationapplier.h"
#include "operations/storedconfigurationreader.h"
#include "operations/types/applyresult.h"
#include "settings/types/encodedconfiguration.h"

#include <set>

namespace radishladder::operations {

//! One change on its way into the store.
struct ConfigurationApplier::Run : public std::enable_shared_from_this<Run>
{
    Run(store::IChangeStore &store, settings::Configuration wanted, ChangeRecord change,
        Handler handler);

    void start();

private:
    void confirmHistory();
    void prepare();
    void confirmNothingToDo();
    void writeNextPart();
    void partAnswered(const std::string &digest, const Reason &reason);
    void readPart(const std::string &digest);
    void writeHead();
    void headAnswered(const Reason &reason);
    void readBack();
    void settle(const StoredConfiguration &read);
    void lose(const StoredConfiguration &read);
    void removeOldParts();
    void finish(Reason reason);
    ChangeHistory nextHistory() const;

    store::IChangeStore &store;
    StoredConfigurationReader reader;
    settings::Configuration wanted;
    ApplyResult result;
    Handler handler;
    StoredConfiguration base;
    settings::EncodedConfiguration encoded;
    std::set<std::string> unwritten;
    int attemptsLeft = 0;

    //! A write of the head may have arrived without an answer.
    bool isInDoubt = false;
    bool wasRefused = false;
};
}
