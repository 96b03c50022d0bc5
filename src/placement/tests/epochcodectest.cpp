#include "placement/epochcodec.h"
#include "placement/slotassignment.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::placement;

namespace {
EpochDocument twoTables()
{
    EpochDocument document{.newestActive = false};
    const std::vector<WeightedMember> both = {{0xabc, 1}, {0xdef, 1}};
    document.tables.push_back(carrySlots({}, both));
    document.tables.push_back(carrySlots(document.tables.back(), std::span(both).first(1)));
    document.members[0xabc] = {UpstreamName("h1"), DataCentreName("a"), {0x7f020001, 6080}};
    document.members[0xdef] = {UpstreamName("h2"), DataCentreName("b"), {0x7f020002, 6080}};
    return document;
}
}

Test(epochcodec, round_trips)
{
    EpochCodec codec;
    cr_assert(codec.decode(codec.encode(twoTables())) == twoTables());
}

Test(epochcodec, refuses_altered_text)
{
    cr_assert(rc::check([] {
        EpochCodec codec;
        const std::string valid = codec.encode(twoTables());
        std::string text = valid;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = codec.decode(text);
        // Whatever passes is a usable document: every slot names a member, every member is
        // described.
        if (decoded) {
            for (const EpochTable &table : decoded->tables) {
                for (const std::uint16_t slot : table.slots) {
                    RC_ASSERT(decoded->members.contains(table.members.at(slot)));
                }
            }
        } else {
            RC_ASSERT(codec.lastReason().code != ResultCode::Ok);
        }
    }));
}
