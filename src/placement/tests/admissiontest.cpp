#include "placement/admission.h"

#include <criterion/criterion.h>

using namespace radishladder::placement;

Test(admission, first_syns_have_priority_over_retransmitted_ones_while_upstreams_are_full)
{
    struct Row
    {
        double load;
        std::uint32_t retransmissions;
        bool isAdmitted;
    };
    const Row rows[] = {
        {0, 0, true},   {0, 2, true},   {1.9, 1, true},  {2.0, 1, false},
        {2.0, 0, true}, {2.9, 0, true}, {3.0, 0, false}, {5.0, 2, false},
    };
    for (const Row &row : rows) {
        cr_assert_eq(admitsSyn(row.load, row.retransmissions), row.isAdmitted,
                     "load %.1f, retransmissions %u", row.load, row.retransmissions);
    }
}
