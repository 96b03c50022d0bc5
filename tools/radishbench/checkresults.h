#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishladder::radishbench {

//! Counts the events that clients and upstreams observe, and records violated guarantees.
class CheckResults
{
public:
    void count(const std::string &what) { ++this->counts[what]; }

    //! Records a violation of \a guarantee; the details of the first violations are kept for
    //! text().
    void recordViolation(const std::string &guarantee, const std::string &detail);

    std::uint64_t countOf(const std::string &what) const;
    std::uint64_t violations() const { return this->violationCount; }

    //! Returns the counts and the violations for printing.
    std::string text() const;

private:
    std::map<std::string, std::uint64_t> counts;
    std::map<std::string, std::uint64_t> violationsByGuarantee;
    std::vector<std::string> examples;
    std::uint64_t violationCount = 0;
};
}
