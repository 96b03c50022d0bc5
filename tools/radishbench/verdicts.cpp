#include "radishbench/verdicts.h"

#include <sstream>

namespace radishladder::radishbench {
namespace {
constexpr std::size_t kMostExamples = 10;
}

void Verdicts::breakPromise(const std::string &promise, const std::string &detail)
{
    ++this->brokenCount;
    ++this->brokenByPromise[promise];
    if (this->examples.size() < kMostExamples) {
        this->examples.push_back(promise + ": " + detail);
    }
}

std::uint64_t Verdicts::counted(const std::string &what) const
{
    const auto known = this->counts.find(what);
    return known == this->counts.end() ? 0 : known->second;
}

std::string Verdicts::text() const
{
    std::ostringstream out;
    for (const auto &[what, count] : this->counts) {
        out << "  " << what << ": " << count << '\n';
    }
    for (const auto &[promise, count] : this->brokenByPromise) {
        out << "  BROKEN " << promise << ": " << count << '\n';
    }
    for (const std::string &example : this->examples) {
        out << "    " << example << '\n';
    }
    return out.str();
}
}
