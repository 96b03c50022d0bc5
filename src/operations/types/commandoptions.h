#pragma once

#include <chrono>
#include <string>

namespace radishladder::operations {

//! Options of the operators' command line.
struct CommandOptions
{
    //! Base file and directory of overlays.
    std::string base;
    std::string overlays;

    std::string operatorName;
    std::string summary;

    //! Longest wait for all VMs to have a change.
    std::chrono::milliseconds wait{10000};

    //! Takes a drain back.
    bool off = false;

    //! Format of the time line: text, json or chrome.
    std::string timeLineFormat = "text";

    //! What explain asks for.
    std::string service;
    std::string caller;
    std::string key;
};
}
