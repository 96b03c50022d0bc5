#include "global/resultcode.h"

#include <criterion/criterion.h>
#include <fstream>
#include <sstream>
#include <string>

using namespace radishladder;

namespace {
std::string readDocumentedRows()
{
    std::ifstream file("docs/RESULT-CODES.md");
    std::string rows;
    std::string line;
    while (std::getline(file, line)) {
        if (line.size() > 2 && line[0] == '|'
            && std::isdigit(static_cast<unsigned char>(line[2]))) {
            rows += line + "\n";
        }
    }
    return rows;
}
}

Test(resultcode, documentation_matches_table)
{
    std::ostringstream expected;
    for (const ResultCodeInfo &info : resultCodes()) {
        expected << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
                 << info.meaning << " |\n";
    }
    cr_assert(readDocumentedRows() == expected.str());
}

Test(resultcode, codes_ascend_and_have_names)
{
    int last = -1;
    for (const ResultCodeInfo &info : resultCodes()) {
        cr_assert(static_cast<int>(info.code) > last);
        cr_assert(resultCodeName(info.code) == info.name);
        last = static_cast<int>(info.code);
    }
}
