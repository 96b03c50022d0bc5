#include "net/query.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder::net;

Test(query, fields_are_split_and_decoded)
{
    struct Row
    {
        const char *query;
        const char *field;
        const char *value;
    };
    const Row rows[] = {
        {"prefix=a%20b/&after=k%261", "prefix", "a b/"},
        {"prefix=a%20b/&after=k%261", "after", "k&1"},
        {"a=1=2", "a", "1=2"},
        {"a", "a", ""},
        {"a=%", "a", "%"},
        {"a=%4", "a", "%4"},
        {"a=%zz1", "a", "%zz1"},
        {"a=%4z", "a", "%4z"},
    };
    for (const Row &row : rows) {
        cr_assert(queryFields(row.query)[row.field] == row.value, "%s", row.query);
    }
    cr_assert(queryFields("").empty());
}

Test(query, encoded_text_decodes_to_original)
{
    cr_assert(rc::check([](const std::string &text) {
        RC_ASSERT(queryFields("x=" + percentEncoded(text))["x"] == text);
    }));
}
