#pragma once

namespace radishladder::radishbench {
struct RunOptions;

//! Exit codes of radishbench.
inline constexpr int kExitHeld = 0;
inline constexpr int kExitMissed = 1;
inline constexpr int kExitBadUse = 2;

//! Runs one scenario and prints the result as JSON or as a table; returns the exit code.
int runScenario(const RunOptions &options, bool asTable);
}
