#pragma once

#include <string>

namespace radishladder::settings {

//! A part of a valid configuration that has no effect or contradicts another part.
struct Warning
{
    //! Path of the field; an item of an array is identified by its name.
    std::string path;

    std::string detail;

    bool operator==(const Warning &) const = default;
};
}
