#pragma once

#include <cstddef>

namespace radishladder::placement {

//! An upstream that may take a new flow, as this VM judges it.
struct Candidate
{
    //! In the data centre of this VM.
    bool isLocal = false;

    //! Just started; takes only the few flows that the warm-up pacer grants.
    bool isCold = false;

    //! The pacer grants this VM a flow to this cold upstream now.
    bool mayWarm = false;

    //! Recent packets to it went unanswered and none was answered since.
    bool isSuspect = false;

    //! A suspect that may be tried with one flow to see whether it answers again.
    bool mayTry = false;

    //! Estimated requests in flight from all VMs for each slot.
    double load = 0;
};
}
