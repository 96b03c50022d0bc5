#include "requests/tests/fakes.h"

#include "net/types/endpoint.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::requests;
using namespace std::chrono_literals;

namespace {
constexpr int kVms = 4;
constexpr int kKeys = 3;
constexpr const char *kMarkHeader = "X-Mark";

//! Several engines over one network whose every step a test chooses.
class Network
{
public:
    struct Sent
    {
        std::string mark;
        std::string expectedBody;
        std::shared_ptr<FakeResponder> responder;
    };

    Network()
    {
        this->source.accept(portalConfiguration());
        std::vector<membership::Member> members;
        for (int i = 0; i < kVms; ++i) {
            const VmName name("vm-" + std::to_string(i));
            members.push_back(
                {.name = name, .requests = {0x7f000100U + static_cast<std::uint32_t>(i), 1}});
            this->vms.push_back(
                std::make_unique<TestVm>(name, this->source, this->clock, this->wire));
        }
        for (auto &vm : this->vms) {
            vm->membership.list = members;
        }
        // Half of the VMs hold no slot and hand over what they should run.
        for (int i = 0; i < kVms; ++i) {
            this->vms[i]->upstreams.holding = {members[0].name, members[1].name};
            this->vms[i]->upstreams.slots = i < 2 ? 3 : 0;
        }
        for (int i = 0; i < 40; ++i) {
            this->pass(1s);
        }
    }

    void pass(std::chrono::milliseconds duration)
    {
        this->clock.advance(duration);
        for (int i = 0; i < kVms; ++i) {
            if (!this->dead.contains(i)) {
                this->vms[i]->engine.tick(this->clock.now());
            }
        }
    }

    void send(int vm, bool isBooking, int key)
    {
        if (this->dead.contains(vm)) {
            return;
        }
        const std::string text = "k" + std::to_string(key);
        net::HttpRequest request = isBooking ? booking(text) : lookup();
        request.path += "/" + text;
        const std::string mark = std::to_string(this->sent.size());
        request.headers[kMarkHeader] = mark;
        Sent entry{mark, answerTo(request.path), std::make_shared<FakeResponder>()};
        this->sent.push_back(entry);
        this->vms[vm]->engine.handle(std::move(request), entry.responder);
    }

    //! Delivers, repeats or loses the datagram at \a position.
    void datagram(std::size_t position, int fate)
    {
        if (this->wire.empty()) {
            return;
        }
        const auto chosen =
            this->wire.begin() + static_cast<std::ptrdiff_t>(position % this->wire.size());
        const FakeTransport::Datagram datagram = *chosen;
        if (fate != 1) {
            this->wire.erase(chosen);
        }
        const int to = numberOf(datagram.to);
        if (fate != 2 && !this->dead.contains(to)) {
            this->vms[to]->transport.receive(datagram);
        }
    }

    //! Ends the oldest call of \a vm in one of several ways.
    void call(int vm, int fate)
    {
        FakeClient &client = this->vms[vm]->client;
        if (this->dead.contains(vm) || client.calls.empty()) {
            return;
        }
        const FakeClient::Call call = client.take(client.calls.begin()->first);
        if (fate == 0) {
            call.handler({.reason = {ResultCode::StoreUnreachable, "refused"}});
            return;
        }
        const int target = this->targetVm(call.call.url);
        if (target >= 0) {
            this->passOn(target, call, fate);
        } else {
            this->runAtUpstream(call, fate);
        }
    }

    void kill(int vm)
    {
        // What the VM has sent may still reach the upstreams.
        for (auto &[id, call] : this->vms[vm]->client.calls) {
            if (this->targetVm(call.call.url) < 0) {
                this->log(call.call);
            }
        }
        this->dead.insert(vm);
        for (const auto &[target, relay] : this->relays) {
            if (target == vm) {
                relay->breakOff();
            }
        }
    }

    //! \a viewer changes its mind about \a subject.
    void believe(int viewer, int subject, membership::MemberState state)
    {
        if (viewer != subject) {
            this->vms[viewer]->membership.list[subject].state = state;
        }
    }

    void check() const
    {
        for (const auto &[key, runs] : this->runsByKey) {
            RC_ASSERT(runs <= 1);
        }
        for (const Sent &entry : this->sent) {
            RC_ASSERT(entry.responder->answers.size() <= 1);
            const int code = entry.responder->code();
            if (code == static_cast<int>(ResultCode::RequestAnswered)) {
                RC_ASSERT(entry.responder->answers.front().body == entry.expectedBody);
            }
            const bool saysNotRun = code == static_cast<int>(ResultCode::RequestNotRun)
                || code == static_cast<int>(ResultCode::RequestInProgress)
                || code == static_cast<int>(ResultCode::RequestOverload)
                || code == static_cast<int>(ResultCode::RequestDeadlinePassed);
            RC_ASSERT(!saysNotRun || !this->marksRun.contains(entry.mark));
        }
    }

    void checkAllEnded() const
    {
        for (int i = 0; i < kVms; ++i) {
            RC_ASSERT(this->dead.contains(i) || this->vms[i]->engine.running() == 0);
        }
    }

    int answered() const
    {
        return static_cast<int>(std::ranges::count_if(
            this->sent, [](const Sent &entry) { return entry.responder->code() == 500; }));
    }

    std::set<int> dead;

private:
    //! Hands an answer back to the call that waits for it.
    class Relay : public net::IHttpResponder
    {
    public:
        Relay(FakeClient::Call call, bool loses) : call(std::move(call)), loses(loses) { }

        void answer(const net::HttpAnswer &answer) override
        {
            if (this->loses) {
                this->breakOff();
            } else if (!std::exchange(this->isOver, true)) {
                this->call.handler({.answer = answer, .anythingSent = true});
            }
        }

        void breakOff()
        {
            if (!std::exchange(this->isOver, true)) {
                this->call.handler(
                    {.reason = {ResultCode::StoreAnswerLost, "lost"}, .anythingSent = true});
            }
        }
        bool isCallerGone() const override { return false; }

    private:
        FakeClient::Call call;
        bool loses;
        bool isOver = false;
    };

    static std::string answerTo(const std::string &path) { return "answer to " + path; }

    static int numberOf(const VmName &name) { return name.str().back() - '0'; }

    int targetVm(const std::string &url) const
    {
        for (int i = 0; i < kVms; ++i) {
            const net::Endpoint &own = this->vms[0]->membership.list[i].requests;
            if (url.starts_with("http://" + net::endpointText(own) + "/")) {
                return i;
            }
        }
        return -1;
    }

    void passOn(int target, const FakeClient::Call &call, int fate)
    {
        if (this->dead.contains(target)) {
            call.handler({.reason = {ResultCode::StoreAnswerLost, "reset"}, .anythingSent = true});
            return;
        }
        net::HttpRequest request{.method = call.call.method,
                                 .path = call.call.url.substr(call.call.url.find('/', 7)),
                                 .headers = call.call.headers,
                                 .body = call.call.body,
                                 .from = this->vms[0]->membership.list[0].requests};
        const auto relay = std::make_shared<Relay>(call, fate == 2);
        this->relays.emplace_back(target, relay);
        this->vms[target]->engine.handle(std::move(request), relay);
    }

    void log(const net::HttpCall &call)
    {
        this->marksRun.insert(net::headerValue(call.headers, kMarkHeader));
        const std::string key = net::headerValue(call.headers, kIdempotencyKeyHeader);
        if (!key.empty()) {
            ++this->runsByKey[key];
        }
    }

    void runAtUpstream(const FakeClient::Call &call, int fate)
    {
        const std::string id = net::headerValue(call.call.headers, kRequestIdHeader);
        const std::string path = call.call.url.substr(call.call.url.find('/', 7));
        net::HttpResult result{
            .answer = {.headers = {{std::string(kRequestIdHeader), id}}, .body = answerTo(path)},
            .anythingSent = true};
        if (fate == 3) {
            result.answer = {.status = 503,
                             .headers = {{std::string(kRequestIdHeader), id},
                                         {std::string(kUpstreamRefusalHeader), "not-run"}}};
            call.handler(result);
            return;
        }
        this->log(call.call);
        switch (fate) {
        case 2:
            result = {.reason = {ResultCode::StoreTimeout, "lost"}, .anythingSent = true};
            break;
        case 4:
            result.answer.headers["Content-Length"] = std::to_string(result.answer.body.size());
            result.answer.body.pop_back();
            break;
        case 5:
            result.answer = {.headers = {{std::string(kRequestIdHeader), "late"}},
                             .body = "answer to another request"};
            break;
        default:
            break;
        }
        call.handler(result);
    }

    ManualClock clock;
    settings::ConfigurationHolder source;
    std::deque<FakeTransport::Datagram> wire;
    std::vector<std::unique_ptr<TestVm>> vms;
    std::vector<Sent> sent;
    std::vector<std::pair<int, std::shared_ptr<Relay>>> relays;
    std::map<std::string, int> runsByKey;
    std::set<std::string> marksRun;
};

struct Step
{
    int kind;
    int vm;
    int other;
    int fate;
    int position;
};

//! Applies \a step; \a victim is the one VM about which others may be wrong.
void apply(Network &network, const Step &step, int victim)
{
    using membership::MemberState;
    switch (step.kind) {
    case 0:
    case 1:
        network.send(step.vm, step.kind == 0, step.other % kKeys);
        return;
    case 2:
    case 3:
    case 4:
        network.call(step.vm, step.fate);
        return;
    case 5:
        network.pass(std::chrono::milliseconds(10 + step.position * 5));
        return;
    case 6:
        network.believe(step.vm, victim,
                        step.fate % 2 == 0 || network.dead.contains(victim) ? MemberState::Dead
                                                                            : MemberState::Alive);
        return;
    case 7:
        if (step.position == 0 && network.dead.empty()) {
            network.kill(victim);
        }
        return;
    default:
        // Mostly delivered, now and then repeated or lost.
        network.datagram(static_cast<std::size_t>(step.position), std::max(step.fate - 3, 0));
    }
}

void finish(Network &network)
{
    for (int round = 0; round < 40; ++round) {
        for (int i = 0; i < 100; ++i) {
            network.datagram(0, 0);
            network.call(i % kVms, 1);
        }
        network.pass(500ms);
    }
}
}

Test(interleaving, at_most_one_run_true_refusals_and_own_answers)
{
    int answered = 0;
    const bool holds = rc::check([&] {
        Network network;
        const int victim = *rc::gen::inRange(0, kVms);
        const auto step = rc::gen::construct<Step>(
            rc::gen::inRange(0, 14), rc::gen::inRange(0, kVms), rc::gen::inRange(0, kVms),
            rc::gen::inRange(0, 6), rc::gen::inRange(0, 40));
        const auto steps = *rc::gen::container<std::vector<Step>>(200, step);
        for (const Step &next : steps) {
            apply(network, next, victim);
            network.check();
        }
        finish(network);
        network.check();
        network.checkAllEnded();
        answered += network.answered();
    });
    cr_assert(holds);
    cr_assert_gt(answered, 100);
}
