#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishladder::radishbench {

//! What callers and upstreams saw, and which promises did not hold.
class Verdicts
{
public:
    void count(const std::string &what) { ++this->counts[what]; }

    //! A promise did not hold; the first ones are kept in words.
    void breakPromise(const std::string &promise, const std::string &detail);

    std::uint64_t counted(const std::string &what) const;
    std::uint64_t broken() const { return this->brokenCount; }

    std::string text() const;

private:
    std::map<std::string, std::uint64_t> counts;
    std::map<std::string, std::uint64_t> brokenByPromise;
    std::vector<std::string> examples;
    std::uint64_t brokenCount = 0;
};
}
