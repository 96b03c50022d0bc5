#include "operations/reports.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::operations;

namespace {
VmResponse makeOkResponse(std::uint16_t port, const char *body)
{
    return {.vm = {0x0a000001, port}, .status = 200, .body = body};
}
}

Test(reports, status_marks_vms_that_are_outdated_frozen_or_unreachable)
{
    const std::string report = statusReport(
        {makeOkResponse(1,
                        R"({"vm":"a","dataCentre":"obuda","configuration":7,"routes":3,"flows":9,)"
                        R"("vms":["a","b"],"out":[],"automaticActions":true})"),
         makeOkResponse(2,
                        R"({"vm":"b","dataCentre":"obuda","configuration":5,"routes":3,"flows":9,)"
                        R"("vms":["a","b"],"out":["kobanya"],"automaticActions":false})"),
         {.vm = {0x0a000001, 3}}});
    cr_assert(report.find("a  obuda  configuration 7  routes 3  flows 9  vms 2  out -\n")
              != std::string::npos);
    cr_assert(report.find("b  obuda  configuration 5 BEHIND") != std::string::npos);
    cr_assert(report.find("out kobanya  FROZEN") != std::string::npos);
    cr_assert(report.find("10.0.0.1:3  gives no answer") != std::string::npos);
}

Test(reports, timeline_merges_events_of_all_vms)
{
    const std::string report = timelineReport(
        {makeOkResponse(1, R"([{"time_ms":30,"event":"c"},{"time_ms":50,"event":"e"}])"),
         makeOkResponse(2, R"([{"time_ms":10,"event":"a"},{"time_ms":40,"event":"d"}])")});
    std::size_t last = 0;
    for (const char *event : {"\"a\"", "\"c\"", "\"d\"", "\"e\""}) {
        const std::size_t at = report.find(event);
        cr_assert(at != std::string::npos && at >= last, "%s", event);
        last = at;
    }
}

Test(reports, malformed_and_failed_responses_are_reported)
{
    cr_assert(upstreamsReport({makeOkResponse(1, "{")}).find("answers 200: {")
              != std::string::npos);
    cr_assert(flowReport({{.vm = {1, 1}, .status = 404, .body = "no"}}).find("answers 404: no")
              != std::string::npos);
}
