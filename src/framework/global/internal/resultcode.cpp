#include "global/resultcode.h"

#include <algorithm>
#include <array>

namespace radishladder {
namespace {
constexpr auto kResultCodes = std::to_array<ResultCodeInfo>({
    {ResultCode::Ok, "Ok", "Success."},
    {ResultCode::BadUsage, "BadUsage", "The command line is wrong."},
    {ResultCode::FileUnreadable, "FileUnreadable", "A file cannot be opened or read."},
    {ResultCode::JsonMalformed, "JsonMalformed", "A file is not valid JSON with comments."},
    {ResultCode::FieldMissing, "FieldMissing", "A required field is absent."},
    {ResultCode::FieldUnknown, "FieldUnknown", "A field name is not recognized."},
    {ResultCode::FieldType, "FieldType", "A field has the wrong type."},
    {ResultCode::FieldRange, "FieldRange", "A field is outside its range."},
    {ResultCode::DuplicateAddress, "DuplicateAddress",
     "Two entries use the same address and port."},
    {ResultCode::DuplicateName, "DuplicateName", "Two entries have the same name."},
    {ResultCode::UnknownDataCentre, "UnknownDataCentre",
     "A reference names a data centre that is not configured."},
    {ResultCode::UnknownService, "UnknownService",
     "A reference names a service that is not configured."},
    {ResultCode::UnknownUpstream, "UnknownUpstream",
     "A reference names an upstream that is not configured."},
    {ResultCode::OverlayMismatch, "OverlayMismatch", "An overlay does not fit the base file."},
    {ResultCode::PacketMalformed, "PacketMalformed",
     "A datagram is not a valid packet of a client."},
    {ResultCode::FlowNotReady, "FlowNotReady", "The VM has no configuration yet."},
    {ResultCode::FlowNoRoute, "FlowNoRoute", "No route has this address and port."},
    {ResultCode::FlowRouteRemoved, "FlowRouteRemoved", "The route of the flow was removed."},
    {ResultCode::FlowNoUpstream, "FlowNoUpstream",
     "No upstream of the service can take a new flow."},
    {ResultCode::FlowTokenUnknown, "FlowTokenUnknown",
     "The token matches none of the upstreams that the VM lists."},
    {ResultCode::FlowUpstreamGone, "FlowUpstreamGone", "The upstream of the flow has ended."},
    {ResultCode::FlowDataCentreOut, "FlowDataCentreOut",
     "The data centre of the upstream is evacuated."},
    {ResultCode::FlowAlreadyOpen, "FlowAlreadyOpen",
     "A retransmitted SYN of a flow that is already open."},
    {ResultCode::FlowUpstreamSilent, "FlowUpstreamSilent",
     "The upstream of the flow sends responses on none of its flows."},
    {ResultCode::FlowOvertaken, "FlowOvertaken",
     "A SYN was queued while the VM was paused; its flow may have opened through another VM."},
    {ResultCode::FlowUpstreamsFull, "FlowUpstreamsFull",
     "Every upstream is at its limit; the client retransmits its SYN."},
    {ResultCode::FlowRefusedByPriority, "FlowRefusedByPriority",
     "The service is overloaded, and its slots are kept for other flows."},
    {ResultCode::FlowUpstreamSuspected, "FlowUpstreamSuspected",
     "The upstream of the flow sends no responses on flows of several VMs."},
    {ResultCode::EntryMalformed, "EntryMalformed",
     "An entry of an upstream lacks a field or has one of the wrong type."},
    {ResultCode::EntryUnknownState, "EntryUnknownState",
     "An entry of an upstream has a state that is not recognized."},
    {ResultCode::ConfigurationMalformed, "ConfigurationMalformed",
     "A configuration in the store cannot be parsed."},
    {ResultCode::ConfigurationOutdated, "ConfigurationOutdated",
     "A configuration is not newer than the one in force."},
    {ResultCode::StoreUnreachable, "StoreUnreachable",
     "The store sent no response; a write may have taken effect."},
    {ResultCode::StoreRefused, "StoreRefused",
     "The store rejected a request; nothing was changed."},
    {ResultCode::StoreConflict, "StoreConflict",
     "A precondition of a write did not hold; nothing was changed."},
    {ResultCode::StoreAnswerInvalid, "StoreAnswerInvalid",
     "The response of the store cannot be parsed."},
    {ResultCode::StoreKeyMissing, "StoreKeyMissing", "The key or lease does not exist."},
    {ResultCode::StoreHistoryGone, "StoreHistoryGone",
     "The store no longer has the revisions that a watch requested."},
    {ResultCode::ComponentFailed, "ComponentFailed", "A component failed and is restarted."},
    {ResultCode::ComponentEscalated, "ComponentEscalated",
     "A component failed more often than its restart limit; the process ends."},
    {ResultCode::SocketFailed, "SocketFailed", "A socket cannot be opened or bound."},
});
}

std::span<const ResultCodeInfo> resultCodes()
{
    return kResultCodes;
}

std::string_view resultCodeName(ResultCode code)
{
    const auto row = std::ranges::lower_bound(kResultCodes, code, {}, &ResultCodeInfo::code);
    return row == kResultCodes.end() || row->code != code ? "Unnumbered" : row->name;
}
}
