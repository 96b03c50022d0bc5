#pragma once

#include <string>

namespace radishladder::settings {

//! One value that differs between two configurations.
struct Difference
{
    //! Path of the field, in which names stand for items of arrays.
    std::string path;

    //! Compact JSON; empty if the value is absent.
    std::string before;
    std::string after;

    bool operator==(const Difference &) const = default;
};
}
