#include "net/compression.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder::net;

namespace {
constexpr std::size_t kMaxBytes = 1024 * 1024;
}

Test(compression, text_round_trips)
{
    cr_assert(rc::check([](const std::string &text, std::uint16_t repetitions) {
        std::string longText;
        for (int i = 0; i < repetitions % 1000; ++i) {
            longText += text;
        }
        RC_ASSERT(decompress(*compress(longText), kMaxBytes) == longText);
    }));
}

Test(compression, invalid_data_is_rejected)
{
    const std::string whole = *compress(std::string(300000, 'x'));
    struct Row
    {
        const char *name;
        std::string data;
        std::size_t maxBytes;
    };
    const Row rows[] = {
        {"empty", "", kMaxBytes},
        {"plain text", "{}", kMaxBytes},
        {"half", whole.substr(0, whole.size() / 2), kMaxBytes},
        {"all but the checksum", whole.substr(0, whole.size() - 4), kMaxBytes},
        {"followed by other bytes", whole + "x", kMaxBytes},
        {"one byte more than allowed", whole, 299999},
    };
    for (const Row &row : rows) {
        cr_assert_not(decompress(row.data, row.maxBytes).has_value(), "%s", row.name);
    }
    cr_assert(decompress(whole, 300000).has_value());
}
