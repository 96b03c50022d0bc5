#include "distribution/relayserver.h"

#include "distribution/changeboard.h"
#include "distribution/relaycodec.h"
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
}

RelayServer::RelayServer(ChangeBoard &board, const IClock &clock) : board(board), clock(clock)
{
    this->board.onChange([this]() { this->answerWaiting(); });
}

bool RelayServer::takes(const std::string &path)
{
    return path == "/changes";
}

void RelayServer::handle(const net::HttpRequest &request,
                         const net::IHttpServer::Responder &respond)
{
    const auto fields = net::queryFields(request.query);
    const auto textOf = [&fields](const char *name) {
        const auto field = fields.find(name);
        return field == fields.end() ? std::string() : field->second;
    };
    Waiting question{.prefix = textOf("prefix"), .respond = respond};
    std::int64_t waitMs = 0;
    if (!absl::SimpleAtoi(textOf("after"), &question.after)
        || !absl::SimpleAtoi(textOf("wait_ms"), &waitMs) || waitMs < 0) {
        respond({.status = 400, .body = R"({"error":"GET /changes?prefix=&after=&wait_ms="})"});
        return;
    }
    question.until = this->clock.now() + std::min(std::chrono::milliseconds(waitMs), kLongestWait);
    Texts texts;
    if (this->tryAnswer(question, texts)) {
        return;
    }
    if (this->waiting.size() >= kMostWaiting) {
        respond({.status = 503, .body = "{}"});
        return;
    }
    this->waiting.push_back(std::move(question));
}

bool RelayServer::tryAnswer(const Waiting &question, Texts &texts) const
{
    const auto now = this->clock.now();
    const RelayAnswer answer = this->board.answer(question.prefix, question.after, now);
    if (answer.verdict == RelayVerdict::Unable) {
        question.respond({.status = 503, .body = "{}"});
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
