#pragma once

#include <string>
#include <vector>

namespace radishladder::settings {
struct Configuration;
struct Difference;

//! Returns the differences between \a before and \a after; generation and change id are ignored.
std::vector<Difference> findDifferences(const Configuration &before, const Configuration &after);

//! Formats \a difference as one line.
std::string formatDifference(const Difference &difference);
}
