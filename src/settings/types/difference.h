#pragma once

#include <string>

namespace radishladder::settings {

//! One value that differs between two configurations.
struct Difference
{
    //! Path of the field; an item of an array is identified by its name.
    std::string path;

    //! Values before and after the change as compact JSON; each is empty if the value is absent.
    std::string before;
    std::string after;

    bool operator==(const Difference &) const = default;
};
}
