#pragma once

#include <span>
#include <string_view>

namespace radishladder::settings {

//! What the system does without being told by a person.
enum class AutomaticAction {
    TableForLostUpstream,
    TableForReturnedUpstream,
    WeightChange,
    DataCentreMove,
    TableForAcceptedChange,
    FinishAnnouncedTable,
    RefuseGoneUpstream,
    LimitsAndWarmup,
    LeavingUpstream,
    OverloadRefusal,
    VmFailover,
};

//! One row of the freeze table; docs/operators/freeze.md shows the same rows.
struct FreezeRule
{
    AutomaticAction action;
    std::string_view name;

    //! The action goes on although the system is frozen, because a promise needs it.
    bool goesOn;
};

//! All automatic actions.
std::span<const FreezeRule> freezeRules();

//! True if \a action may be taken now.
bool isAllowed(AutomaticAction action, bool frozen);
}
