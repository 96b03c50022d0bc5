#pragma once

#include <string>
#include <vector>

namespace radishladder::settings {
struct Configuration;
struct Warning;

//! Returns the entries of \a configuration that can never match a flow, and the limits that
//! contradict each other.
std::vector<Warning> findWarnings(const Configuration &configuration);

//! Formats \a warning as one line.
std::string formatWarning(const Warning &warning);
}
