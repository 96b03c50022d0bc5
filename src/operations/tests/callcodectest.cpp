#include "operations/callcodec.h"
#include "operations/types/explanation.h"
#include "operations/types/vmstatus.h"
#include "settings/jsonfile.h"
#include "telemetry/types/event.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::operations;

Test(callcodec, events_round_trip)
{
    cr_assert(rc::check([](std::int64_t us, std::uint32_t counter) {
        const auto text = [] { return *rc::gen::string<std::string>(); };
        const auto code = resultCodes()[*rc::gen::inRange<std::size_t>(0, resultCodes().size())];
        const telemetry::Event event{.time = {std::chrono::sys_time<std::chrono::microseconds>(
                                                  std::chrono::microseconds(us)),
                                              counter},
                                     .vm = VmName(text()),
                                     .dataCentre = DataCentreName(text()),
                                     .kind = text(),
                                     .service = ServiceName(text()),
                                     .subject = text(),
                                     .reason = code.code,
                                     .detail = text()};
        Reason reason;
        const auto read = readEvent(eventJson(event), reason);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->time == event.time && read->vm == event.vm && read->kind == event.kind);
        RC_ASSERT(read->dataCentre == event.dataCentre && read->service == event.service);
        RC_ASSERT(read->subject == event.subject && read->reason == event.reason);
        RC_ASSERT(read->detail == event.detail);
    }));
}

Test(callcodec, status_round_trips)
{
    const VmStatus status{.vm = VmName("vm-1"),
                          .dataCentre = DataCentreName("obuda"),
                          .generation = 7,
                          .changeId = "c7",
                          .documentRevision = 12,
                          .confident = true,
                          .freeze = true,
                          .members = {{VmName("vm-2"), DataCentreName("ujpest"), "alive", 6}},
                          .upstreams = {{UpstreamName("h1"), ServiceName("portal"), "ready"}}};
    Reason reason;
    cr_assert(readStatus(statusJson(status), reason) == status, "%s", reason.detail.c_str());
}

Test(callcodec, wrong_fields_are_named)
{
    Reason reason;
    cr_assert(!readQuestion(*settings::parseJson("{\"service\": \"s\"}", "", reason), reason));
    cr_assert(reason.code == ResultCode::FieldMissing);
    Json::Value event = eventJson({});
    event["reason"] = 1;
    cr_assert(!readEvent(event, reason).has_value());
    cr_assert(reason.code == ResultCode::FieldRange);
}
