#pragma once

#include "global/reason.h"
#include "operations/types/commandoptions.h"
#include "operations/types/commandresult.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishladder {
class IClock;
class IRandom;
}
namespace radishladder::settings {
class ConfigurationFiles;
struct Configuration;
}

namespace radishladder::operations {
class IOperatorBackend;
class OverlayEditor;
struct VmAddress;

//! The commands of radishctl.
class OperatorCommands
{
public:
    OperatorCommands(IOperatorBackend &backend, const IClock &clock, IRandom &random,
                     CommandOptions options);

    //! Runs the command made of \a words.
    CommandResult run(const std::vector<std::string> &words);

private:
    CommandResult check();
    CommandResult diff();
    CommandResult apply();
    CommandResult history();
    CommandResult status();
    CommandResult explain();
    CommandResult timeLine();
    CommandResult drain(const std::string &upstream);
    CommandResult moveDataCentre(const std::string &site, bool out);
    CommandResult freeze(const std::string &site, bool freeze);

    CommandResult editAndApply(settings::ConfigurationFiles &files, const OverlayEditor &editor,
                               const std::string &summary);
    CommandResult applyConfiguration(const settings::Configuration &wanted,
                                     const std::string &summary);
    void waitForAll(std::uint64_t generation, CommandResult &result);
    std::vector<std::string> vmsWithout(std::uint64_t generation, const std::vector<VmAddress> &vms,
                                        std::vector<std::string> &silent);

    IOperatorBackend &backend;
    const IClock &clock;
    IRandom &random;
    CommandOptions options;
};
}
