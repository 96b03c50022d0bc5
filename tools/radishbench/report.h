#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace radishladder::radishbench {

//! Results of runs as a page: a row for each run with what held and what was missed.
std::string resultsPage(const std::vector<Json::Value> &results, const std::string &commit);

//! Service and lost flows of one run over time as SVG, with the faults marked.
std::string resultPlot(const Json::Value &result);

//! Name of the plot of \a result, without its folder.
std::string plotName(const Json::Value &result);

//! Command line that repeats the run of \a result.
std::string runCommandText(const Json::Value &result);

//! Writes the page and the plots of the runs in \a files to \a directory; returns the exit code.
int writeReport(const std::vector<std::string> &files, const std::string &directory,
                const std::string &commit);
}
