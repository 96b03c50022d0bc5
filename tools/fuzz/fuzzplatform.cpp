#include "distribution/changecache.h"
#include "distribution/relaycodec.h"
#include "distribution/relayserver.h"
#include "evidence/evidencecodec.h"
#include "evidence/iownflows.h"
#include "evidence/sharedevidence.h"
#include "flows/sharedflowcodec.h"
#include "flows/sharedflows.h"
#include "flows/types/sharedflowdatagram.h"
#include "global/hash.h"
#include "global/manualclock.h"
#include "global/seededrandom.h"
#include "net/compression.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "net/types/httpresult.h"
#include "platform/configurationdecoder.h"
#include "platform/echopacketcodec.h"
#include "platform/entrydecoder.h"
#include "platform/storeresponses.h"
#include "settings/vmsettingsreader.h"
#include "store/types/storeitem.h"
#include "store/types/storelease.h"
#include "store/types/storelisting.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>
#include <vector>

using namespace radishladder;

namespace {
//! Checks that each packet that decodes can be forwarded with its bytes unchanged, and that a reset
//! can be encoded for it.
void fuzzPacket(std::span<const std::uint8_t> bytes)
{
    const platform::EchoPacketCodec codec;
    const auto packet = codec.decode(bytes);
    if (!packet) {
        return;
    }
    std::array<std::uint8_t, 2048> out{};
    const std::size_t size = codec.encodeForward(bytes, {1}, packet->token, out);
    const bool isSame =
        size == bytes.size() + 8 && std::equal(bytes.begin(), bytes.end(), out.begin() + 8);
    if (!isSame || codec.encodeReset(*packet, out) == 0) {
        std::abort();
    }
}

//! Checks that a failed listing carries no items, and that the other parsers of responses do not
//! crash.
void fuzzStoreResponse(const std::string &text)
{
    const net::HttpResult result{.status = 200, .body = text, .header = text};
    for (const auto kind : {platform::ListingKind::Page, platform::ListingKind::Changes}) {
        const store::StoreListing listing = platform::parseListing(result, kind);
        if (listing.status != store::StoreStatus::Ok && !listing.items.empty()) {
            std::abort();
        }
    }
    platform::parseLease(result, 0);
}

//! Checks that compressed text is restored, and that responses of relays are parsed alike whether
//! they are compressed or not.
void fuzzRelayResponse(const std::string &text)
{
    constexpr std::size_t kMaxBytes = 4096;
    const auto compressed = net::compress(text);
    if (!compressed || net::decompress(*compressed, kMaxBytes) != text) {
        std::abort();
    }
    const bool isParsed = distribution::parseRelayText(text).has_value();
    if (distribution::parseRelayBody(*compressed).has_value() != isParsed) {
        std::abort();
    }
    distribution::parseRelayBody(text);
    distribution::parseUnavailableText(text);
}

//! Flows of a VM that has responses of no upstream.
class NoFlows : public evidence::IOwnFlows
{
public:
    TimePoint lastResponseOf(upstreams::UpstreamId) const override { return {}; }
    bool hasPromptResponses(TimePoint) const override { return true; }
    TimePoint lastPromptResponse() const override { return {}; }
};

//! Checks that a datagram of a peer that decodes is encoded to the same bytes, and that evidence
//! from any datagrams of a member stays within its bounds.
void fuzzEvidence(std::span<const std::uint8_t> bytes)
{
    evidence::EvidenceDatagram datagram;
    const bool isValid = evidence::decodeEvidence(bytes, datagram) == evidence::Rejection::None;
    std::array<std::uint8_t, evidence::kMaxEvidenceBytes> out{};
    if (isValid
        && (evidence::encodeEvidence(datagram, out) != bytes.size()
            || !std::equal(bytes.begin(), bytes.end(), out.begin()))) {
        std::abort();
    }
    std::vector<VmName> members;
    for (const char *name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        members.emplace_back(name);
    }
    const NoFlows flows;
    SeededRandom random(1);
    const ManualClock clock;
    evidence::SharedEvidence shared(members.front(), 1, flows, random);
    shared.setMembers(members);
    shared.receive(bytes, clock.now());
    datagram.sender = hash64(members.back().str());
    if (isValid) {
        const std::size_t size = evidence::encodeEvidence(datagram, out);
        const auto known = std::span(out).first(size);
        if (shared.receive(known, clock.now()) != evidence::Rejection::None
            || shared.receive(known, clock.now()) != evidence::Rejection::Replayed
            || shared.size() > evidence::EvidenceDatagram::kMaxRecords) {
            std::abort();
        }
    }
    while (shared.nextDatagram(out, clock.now() + std::chrono::seconds(1)) > 0) { }
}

//! Checks that a datagram of a peer that decodes is encoded to the same bytes, and that the flows
//! in any datagram stay within their bounds.
void fuzzSharedFlows(std::span<const std::uint8_t> bytes)
{
    const ManualClock clock;
    const auto datagram = flows::decodeSharedFlows(bytes, clock.now());
    std::array<std::uint8_t, flows::kMaxSharedFlowBytes> out{};
    if (datagram
        && (flows::encodeSharedFlows(*datagram, clock.now(), out) != bytes.size()
            || !std::equal(bytes.begin(), bytes.end(), out.begin()))) {
        std::abort();
    }
    constexpr std::size_t kCapacity = 8;
    flows::SharedFlows shared(kCapacity);
    const bool isReceived = shared.receive(bytes, clock.now(), [](auto) {});
    if (isReceived != datagram.has_value() || shared.size() > kCapacity) {
        std::abort();
    }
}

//! Checks that the relay server gives at most one response to any request of a peer.
void fuzzRelayRequest(const std::string &text)
{
    ManualClock clock;
    distribution::ChangeCache cache;
    distribution::RelayServer server(cache, clock);
    for (const char *path : {"/changes", "/listing", "/contact", "/offer"}) {
        int responses = 0;
        server.handle({.path = path, .query = text},
                      [&responses](const net::HttpResponse &) { ++responses; });
        if (responses > 1) {
            std::abort();
        }
    }
    server.tick();
}
}

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const std::uint8_t> rest(data, size);
    const std::string text(rest.begin(), rest.end());
    fuzzPacket(rest);
    fuzzEvidence(rest);
    fuzzSharedFlows(rest);
    fuzzRelayRequest(text);
    platform::EntryDecoder().decode({.key = "servers/i-1", .value = text});
    platform::ConfigurationDecoder().decode(text);
    settings::VmSettingsReader().parse(text, "fuzz");
    fuzzStoreResponse(text);
    fuzzRelayResponse(text);
    return 0;
}
