#include "settings/freezepolicy.h"

#include <algorithm>

namespace radishladder::settings {
namespace {
constexpr FreezeRule kRules[] = {
    {AutomaticAction::TableForLostUpstream, "TableForLostUpstream", false},
    {AutomaticAction::TableForReturnedUpstream, "TableForReturnedUpstream", false},
    {AutomaticAction::WeightChange, "WeightChange", false},
    {AutomaticAction::DataCentreMove, "DataCentreMove", false},
    {AutomaticAction::TableForAcceptedChange, "TableForAcceptedChange", true},
    {AutomaticAction::FinishAnnouncedTable, "FinishAnnouncedTable", true},
    {AutomaticAction::RefuseGoneUpstream, "RefuseGoneUpstream", true},
    {AutomaticAction::LimitsAndWarmup, "LimitsAndWarmup", true},
    {AutomaticAction::LeavingUpstream, "LeavingUpstream", true},
    {AutomaticAction::OverloadRefusal, "OverloadRefusal", true},
    {AutomaticAction::VmFailover, "VmFailover", true},
};
}

std::span<const FreezeRule> freezeRules()
{
    return kRules;
}

bool isAllowed(AutomaticAction action, bool frozen)
{
    const auto rule = std::ranges::find(freezeRules(), action, &FreezeRule::action);
    // An action that nobody has listed must not run on a frozen system.
    return !frozen || (rule != freezeRules().end() && rule->goesOn);
}
}
