#include "net/types/endpoint.h"

#include <criterion/parameterized.h>
#include <rapidcheck.h>

using namespace radishladder::net;

struct EndpointCase
{
    char text[32];
    bool isValid;
    std::uint32_t address;
    std::uint16_t port;
};

ParameterizedTestParameters(endpoint, parses)
{
    static EndpointCase cases[] = {
        {"127.0.0.1:80", true, 0x7f000001, 80},
        {"10.1.2.3:65535", true, 0x0a010203, 65535},
        {"127.0.0.1", false, 0, 0},
        {"127.0.0.1:65536", false, 0, 0},
        {"127.0.0.1:", false, 0, 0},
        {"127.0.0:80", false, 0, 0},
        {"127.0.0.1:80x", false, 0, 0},
        {"", false, 0, 0},
    };
    return cr_make_param_array(EndpointCase, cases, sizeof(cases) / sizeof(EndpointCase));
}

ParameterizedTest(EndpointCase *row, endpoint, parses)
{
    const auto parsed = parseEndpoint(row->text);
    cr_assert_eq(parsed.has_value(), row->isValid, "%s", row->text);
    if (parsed) {
        cr_assert_eq(parsed->address, row->address);
        cr_assert_eq(parsed->port, row->port);
    }
}

Test(endpoint, text_round_trips)
{
    cr_assert(rc::check([](std::uint32_t address, std::uint16_t port) {
        const Endpoint endpoint{address, port};
        RC_ASSERT(parseEndpoint(endpointText(endpoint)) == endpoint);
    }));
}
