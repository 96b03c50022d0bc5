#pragma once

#include <span>
#include <string_view>

namespace radishladder {

//! Numbered outcome of an operation. A test compares the list in docs/RESULT-CODES.md with
//! resultCodes().
enum class ResultCode : int {
    Ok = 0,

    // 1xx: command line and settings
    BadUsage = 100,
    FileUnreadable = 101,
    JsonMalformed = 102,
    FieldMissing = 103,
    FieldUnknown = 104,
    FieldType = 105,
    FieldRange = 106,
    DuplicateAddress = 107,
    DuplicateName = 108,
    UnknownDataCentre = 109,
    UnknownService = 110,
    UnknownUpstream = 111,
    OverlayMismatch = 112,

    // 2xx: malformed datagrams
    PacketMalformed = 200,

    // 3xx: flows
    FlowNotReady = 300,
    FlowNoRoute = 301,
    FlowRouteRemoved = 302,
    FlowNoUpstream = 303,
    FlowTokenUnknown = 304,
    FlowUpstreamGone = 305,
    FlowDataCentreOut = 306,
    FlowAlreadyOpen = 307,
    FlowUpstreamSilent = 308,
    FlowOvertaken = 309,
    FlowUpstreamsFull = 310,
    FlowRefusedByPriority = 311,
    FlowUpstreamSuspected = 312,

    // 4xx: store entries
    EntryMalformed = 400,
    EntryUnknownState = 401,
    ConfigurationMalformed = 402,
    ConfigurationOutdated = 403,

    // 6xx: requests to the platform store
    StoreUnreachable = 600,
    StoreRefused = 601,
    StoreConflict = 602,
    StoreAnswerInvalid = 603,
    StoreKeyMissing = 604,
    StoreHistoryGone = 605,

    // 9xx: processes
    ComponentFailed = 900,
    ComponentEscalated = 901,
    SocketFailed = 902,
};

//! Row of the result code table.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    std::string_view meaning;
};

//! Returns all result codes in ascending order.
std::span<const ResultCodeInfo> resultCodes();

//! Returns the name of \a code that logs, metrics and HTTP responses contain.
std::string_view resultCodeName(ResultCode code);
}
