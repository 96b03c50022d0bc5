#include "distribution/seedclient.h"

#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/copyage.h"
#include "global/iclock.h"
#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

namespace radishladder::distribution {
namespace {
//! A VM of another data centre that is cut off does not answer at all.
constexpr std::chrono::milliseconds kTimeout{400};

constexpr std::chrono::milliseconds kRepeatEvery{500};
}

SeedClient::SeedClient(const IClock &clock, ConnectionFactory connect,
                       std::vector<net::Endpoint> vms)
    : clock(clock), connect(std::move(connect)), vms(std::move(vms))
{ }

SeedClient::~SeedClient() = default;

void SeedClient::ask(const std::string &prefix, Handler handler)
{
    Question &question = this->questions[prefix];
    question.handler = std::move(handler);
    question.isOver = false;
    this->send(prefix, question);
}

void SeedClient::cancel(const std::string &prefix)
{
    const auto question = this->questions.find(prefix);
    if (question != this->questions.end()) {
        // Its connections may be in the call that led here; tick() closes them.
        question->second.isOver = true;
    }
}

void SeedClient::tick()
{
    std::erase_if(this->questions, [](const auto &entry) { return entry.second.isOver; });
    for (auto &[prefix, question] : this->questions) {
        if (this->clock.now() - question.askedAt >= kRepeatEvery) {
            this->send(prefix, question);
        }
    }
}

void SeedClient::send(const std::string &prefix, Question &question)
{
    const net::HttpRequest request{.path = std::string(kListingPath),
                                   .query = listingQuery(prefix, CopyAge::Any),
                                   .timeout = kTimeout};
    question.askedAt = this->clock.now();
    question.connections.clear();
    for (const net::Endpoint &vm : this->vms) {
        question.connections.push_back(this->connect(vm));
        question.connections.back()->send(request,
                                          [this, prefix, vm](const net::HttpResult &result) {
                                              this->onResult(prefix, vm, result);
                                          });
    }
}

void SeedClient::onResult(const std::string &prefix, const net::Endpoint &vm,
                          const net::HttpResult &result)
{
    const auto question = this->questions.find(prefix);
    if (question == this->questions.end() || question->second.isOver || result.status != 200) {
        return;
    }
    const auto answer = parseRelayText(result.body);
    if (!answer || answer->verdict == RelayVerdict::AskStore) {
        return;
    }
    question->second.isOver = true;
    const Handler handler = question->second.handler;
    handler(vm, *answer);
}
}
