#include "distribution/relayserver.h"

#include "distribution/changeboard.h"
#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/copyage.h"
#include "global/iclock.h"
#include "net/query.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"

#include <absl/strings/numbers.h>

namespace radishladder::distribution {
namespace {
constexpr std::chrono::milliseconds kLongestWait{5000};

//! Keeps memory bounded if neighbours ask again and again without waiting for an answer.
constexpr std::size_t kMostWaiting = 1024;

//! Listings sent between two ticks, in bytes; more would hold changes up on a narrow link.
constexpr std::size_t kListingBytes = 1024 * 1024;

std::string fieldOf(const std::map<std::string, std::string> &fields, const char *name)
{
    const auto field = fields.find(name);
    return field == fields.end() ? std::string() : field->second;
}
}

RelayServer::RelayServer(ChangeBoard &board, const IClock &clock)
    : board(board), clock(clock), listingBudget(kListingBytes)
{
    this->board.onChange([this]() { this->answerWaiting(); });
}

bool RelayServer::takes(const std::string &path)
{
    return path == kChangesPath || path == kListingPath || path == kContactPath;
}

void RelayServer::tick()
{
    this->listingBudget = kListingBytes;
    this->answerWaiting();
}

void RelayServer::handle(const net::HttpRequest &request,
                         const net::IHttpServer::Responder &respond)
{
    if (request.path == kContactPath) {
        const bool hasContact = this->board.hasContact(this->clock.sinceBoot());
        respond({.status = hasContact ? 200 : kStoreLost, .body = "{}"});
    } else if (request.path == kListingPath) {
        this->handleListing(request, respond);
    } else {
        this->handleChanges(request, respond);
    }
}

void RelayServer::handleListing(const net::HttpRequest &request,
                                const net::IHttpServer::Responder &respond)
{
    const auto fields = net::queryFields(request.query);
    const auto age = parseCopyAge(fieldOf(fields, "age"));
    if (!age) {
        respond({.status = 400, .body = R"({"error":"GET /listing?prefix=&age=new|polled|any"})"});
        return;
    }
    const RelayAnswer answer =
        this->board.copy(fieldOf(fields, "prefix"), *age, this->clock.sinceBoot());
    if (answer.verdict == RelayVerdict::Unable) {
        respond(this->inability());
        return;
    }
    std::string text = relayText(answer);
    if (text.size() > this->listingBudget) {
        respond({.body = relayText({.verdict = RelayVerdict::AskStore})});
        return;
    }
    this->listingBudget -= text.size();
    respond({.body = std::move(text)});
}

void RelayServer::handleChanges(const net::HttpRequest &request,
                                const net::IHttpServer::Responder &respond)
{
    const auto fields = net::queryFields(request.query);
    Waiting question{.prefix = fieldOf(fields, "prefix"), .respond = respond};
    std::int64_t waitMs = 0;
    if (!absl::SimpleAtoi(fieldOf(fields, "after"), &question.after)
        || !absl::SimpleAtoi(fieldOf(fields, "wait_ms"), &waitMs) || waitMs < 0) {
        respond({.status = 400, .body = R"({"error":"GET /changes?prefix=&after=&wait_ms="})"});
        return;
    }
    question.until = this->clock.now() + std::min(std::chrono::milliseconds(waitMs), kLongestWait);
    Texts texts;
    if (this->tryAnswer(question, texts)) {
        return;
    }
    if (this->waiting.size() >= kMostWaiting) {
        respond({.status = kCannotTell, .body = "{}"});
        return;
    }
    this->waiting.push_back(std::move(question));
}

net::HttpAnswer RelayServer::inability() const
{
    const bool hasContact = this->board.hasContact(this->clock.sinceBoot());
    return {.status = hasContact ? kCannotTell : kStoreLost, .body = "{}"};
}

bool RelayServer::tryAnswer(const Waiting &question, Texts &texts) const
{
    const auto now = this->clock.now();
    const RelayAnswer answer =
        this->board.answer(question.prefix, question.after, this->clock.sinceBoot());
    if (answer.verdict == RelayVerdict::Unable) {
        question.respond(this->inability());
        return true;
    }
    if (answer.verdict == RelayVerdict::Nothing && now < question.until) {
        return false;
    }
    std::string &text = texts[{question.prefix, question.after}];
    if (text.empty()) {
        text = relayText(answer);
    }
    question.respond({.body = text});
    return true;
}

void RelayServer::answerWaiting()
{
    Texts texts;
    std::erase_if(this->waiting, [this, &texts](const Waiting &question) {
        return this->tryAnswer(question, texts);
    });
}
}
