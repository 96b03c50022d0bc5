#pragma once

#include "loop.h"

#include <fstream>
#include <string>

namespace review {

//! Writes what was sent, answered and run, with the time in seconds since the start.
class Record
{
public:
    Record(Loop &loop, const std::string &path) : loop(loop), file(path) { }

    void write(const std::string &line)
    {
        std::string time = std::to_string(this->loop.seconds());
        time.resize(time.find('.') + 4);
        this->file << time << "  " << line << '\n';
        this->file.flush();
    }

private:
    Loop &loop;
    std::ofstream file;
};
}
