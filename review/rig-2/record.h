#pragma once

#include <chrono>
#include <fstream>
#include <string>

namespace review {

//! Writes what was sent, answered and run, with the time since the start of the run.
class Record
{
public:
    explicit Record(const std::string &path)
        : out(path), start(std::chrono::steady_clock::now()) { }

    void write(const std::string &line)
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - this->start);
        this->out << elapsed.count() << " ms  " << line << '\n' << std::flush;
    }

private:
    std::ofstream out;
    std::chrono::steady_clock::time_point start;
};
}
