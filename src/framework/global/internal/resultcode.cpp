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
    {ResultCode::FieldUnknown, "FieldUnknown", "A field is not known."},
    {ResultCode::FieldType, "FieldType", "A field has the wrong type."},
    {ResultCode::FieldRange, "FieldRange", "A field is outside its range."},
    {ResultCode::DuplicateAddress, "DuplicateAddress",
     "Two entries use the same address and port."},
    {ResultCode::DuplicateName, "DuplicateName", "Two entries have the same name."},
    {ResultCode::UnknownDataCentre, "UnknownDataCentre",
     "A data centre is named that is not configured."},
    {ResultCode::UnknownService, "UnknownService", "A service is named that is not configured."},
    {ResultCode::UnknownUpstream, "UnknownUpstream",
     "An upstream is named that is not configured."},
    {ResultCode::OverlayMismatch, "OverlayMismatch", "An overlay does not fit the base file."},
    {ResultCode::PacketMalformed, "PacketMalformed", "A datagram is no packet of a caller."},
    {ResultCode::FlowNotReady, "FlowNotReady", "The VM has no configuration yet."},
    {ResultCode::FlowNoRoute, "FlowNoRoute", "No route has this address and port."},
    {ResultCode::FlowRouteRemoved, "FlowRouteRemoved", "The route of the flow was removed."},
    {ResultCode::FlowNoUpstream, "FlowNoUpstream",
     "No upstream of the service can take a new flow."},
    {ResultCode::FlowTokenUnknown, "FlowTokenUnknown",
     "The token names no upstream that the VM knows."},
    {ResultCode::FlowUpstreamGone, "FlowUpstreamGone", "The upstream of the flow has ended."},
    {ResultCode::FlowDataCentreOut, "FlowDataCentreOut",
     "The data centre of the upstream is taken out."},
    {ResultCode::FlowAlreadyOpen, "FlowAlreadyOpen",
     "A repeated first packet of a flow that is open."},
    {ResultCode::FlowUpstreamSilent, "FlowUpstreamSilent",
     "The upstream of the flow answers none of its flows."},
    {ResultCode::FlowOvertaken, "FlowOvertaken",
     "A first packet waited while the VM was paused; its flow may have opened elsewhere."},
    {ResultCode::FlowUpstreamsFull, "FlowUpstreamsFull",
     "Every upstream is full for now; the caller repeats its first packet."},
    {ResultCode::EntryMalformed, "EntryMalformed",
     "An entry of an upstream lacks a field or has one of the wrong type."},
    {ResultCode::EntryUnknownState, "EntryUnknownState",
     "An entry of an upstream names a state that is not known."},
    {ResultCode::ConfigurationMalformed, "ConfigurationMalformed",
     "A configuration in the store cannot be read."},
    {ResultCode::ConfigurationOutdated, "ConfigurationOutdated",
     "A configuration is not newer than the one in force."},
    {ResultCode::StoreUnreachable, "StoreUnreachable",
     "The store gave no answer; a write may have taken effect."},
    {ResultCode::StoreRefused, "StoreRefused", "The store turned a call away; nothing was done."},
    {ResultCode::StoreConflict, "StoreConflict",
     "A condition of a write did not hold; nothing was done."},
    {ResultCode::StoreAnswerInvalid, "StoreAnswerInvalid", "The store's answer cannot be read."},
    {ResultCode::StoreKeyMissing, "StoreKeyMissing", "The key or lease does not exist."},
    {ResultCode::StoreHistoryGone, "StoreHistoryGone",
     "The store no longer has the changes that a watch asked for."},
    {ResultCode::ComponentFailed, "ComponentFailed", "A component failed and is restarted."},
    {ResultCode::ComponentEscalated, "ComponentEscalated",
     "A component keeps failing; the process ends."},
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
