#include "radishbench/checkresults.h"

#include <sstream>

namespace radishladder::radishbench {
namespace {
constexpr std::size_t kMaxExamples = 10;
}

void CheckResults::recordViolation(const std::string &guarantee, const std::string &detail)
{
    ++this->violationCount;
    ++this->violationsByGuarantee[guarantee];
    if (this->examples.size() < kMaxExamples) {
        this->examples.push_back(guarantee + ": " + detail);
    }
}

std::uint64_t CheckResults::countOf(const std::string &what) const
{
    const auto found = this->counts.find(what);
    return found == this->counts.end() ? 0 : found->second;
}

std::string CheckResults::text() const
{
    std::ostringstream out;
    for (const auto &[what, count] : this->counts) {
        out << "  " << what << ": " << count << '\n';
    }
    for (const auto &[guarantee, count] : this->violationsByGuarantee) {
        out << "  BROKEN " << guarantee << ": " << count << '\n';
    }
    for (const std::string &example : this->examples) {
        out << "    " << example << '\n';
    }
    return out.str();
}
}
