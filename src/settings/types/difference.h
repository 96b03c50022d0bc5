#pragma once

#include <string>

namespace radishladder::settings {

//! One value that differs between two configurations.
struct Difference
{
    //! Path of the field; items of arrays go by their names.
    std::string path;

    //! Compact JSON; empty if absent.
    std::string before;
    std::string after;

    bool operator==(const Difference &) const = default;
};
}
