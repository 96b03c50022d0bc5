#pragma once

#include "global/reason.h"
#include "operations/types/changerecord.h"
#include "settings/types/difference.h"

#include <optional>

namespace radishladder::operations {

//! What became of a change.
struct ApplyResult
{
    //! Ok: accepted. ChangeNothingToDo: already in force. ChangeLost: another change won and this
    //! one was not accepted. StoreAnswerLost: nobody could tell; the history will. Any other:
    //! nothing was accepted.
    Reason reason;

    //! The accepted change.
    ChangeRecord change;

    //! The change that won, if it is known.
    std::optional<ChangeRecord> winner;

    //! What differs from the winner's configuration to this one, if it is known.
    std::vector<settings::Difference> differences;
};
}
