#pragma once

#include <string>
#include <vector>

namespace radishladder::settings {
struct Configuration;
struct Difference;

//! What differs from \a before to \a after, without generation and change id.
std::vector<Difference> differences(const Configuration &before, const Configuration &after);

//! One line for \a difference.
std::string differenceLine(const Difference &difference);
}
