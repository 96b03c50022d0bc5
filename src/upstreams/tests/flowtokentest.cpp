#include "upstreams/types/upstreamid.h"

#include <criterion/criterion.h>
#include <random>
#include <rapidcheck.h>
#include <unordered_set>

using namespace radishladder::upstreams;

Test(flowtoken, is_never_zero_and_depends_only_on_the_identifier)
{
    cr_assert(rc::check([](std::uint64_t value) {
        RC_ASSERT(flowToken({value}) != 0U);
        RC_ASSERT(flowToken({value}) == flowToken({value}));
    }));
}

Test(flowtoken, collisions_among_74000_upstreams_stay_near_the_expected_number)
{
    // Random tokens would collide in 74,000^2 / 2 / 2^32 = 0.64 pairs on average.
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        std::mt19937_64 random(seed);
        std::unordered_set<std::uint32_t> tokens;
        for (int i = 0; i < 74000; ++i) {
            tokens.insert(flowToken({random()}));
        }
        cr_assert_geq(tokens.size(), 74000U - 6);
    }
}

Test(flowtoken, consecutive_identifiers_rarely_collide)
{
    std::unordered_set<std::uint32_t> tokens;
    for (std::uint64_t id = 1; id <= 74000; ++id) {
        tokens.insert(flowToken({id}));
    }
    cr_assert_geq(tokens.size(), 74000U - 6);
}
