#include "requests/tests/fakes.h"

#include "requests/internal/keyhome.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::requests;
using namespace std::chrono_literals;

namespace {
//! Three VMs that have run long enough to know all keys.
class Trio
{
public:
    Trio()
    {
        this->source.accept(portalConfiguration());
        for (int i = 0; i < 3; ++i) {
            const VmName name("vm-" + std::to_string(i));
            this->members.push_back(
                {.name = name, .requests = {0x7f000100U + static_cast<std::uint32_t>(i), 1}});
            this->vms.push_back(
                std::make_unique<TestVm>(name, this->source, this->clock, this->wire));
        }
        for (auto &vm : this->vms) {
            vm->membership.list = this->members;
        }
        this->run(40s);
    }

    void run(std::chrono::milliseconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 10ms) {
            this->clock.advance(10ms);
            for (auto &vm : this->vms) {
                if (!this->dead.contains(vm->membership.self())) {
                    vm->engine.tick(this->clock.now());
                }
            }
            this->deliver();
        }
    }

    void deliver()
    {
        while (!this->wire.empty()) {
            const FakeTransport::Datagram datagram = this->wire.front();
            this->wire.pop_front();
            if (!this->dead.contains(datagram.to) && !this->isCut) {
                this->vm(datagram.to).transport.receive(datagram);
            }
        }
    }

    TestVm &vm(const VmName &name)
    {
        return **std::ranges::find_if(
            this->vms, [&](const auto &vm) { return vm->membership.self() == name; });
    }

    //! Home and second VM of \a key, then the third.
    std::vector<VmName> order(const std::string &key)
    {
        std::vector<VmName> names;
        for (const membership::Member &member : this->members) {
            names.push_back(member.name);
        }
        std::vector<VmName> result = keepersOf(KeyId::of("portal", key), names);
        for (const VmName &name : names) {
            if (std::ranges::find(result, name) == result.end()) {
                result.push_back(name);
            }
        }
        return result;
    }

    void kill(const VmName &name)
    {
        this->dead.insert(name);
        for (auto &vm : this->vms) {
            for (membership::Member &member : vm->membership.list) {
                if (member.name == name) {
                    member.state = membership::MemberState::Dead;
                }
            }
        }
        this->run(20ms);
    }

    //! \a viewer takes \a subject for dead.
    void distrust(const VmName &viewer, const VmName &subject)
    {
        for (membership::Member &member : this->vm(viewer).membership.list) {
            if (member.name == subject) {
                member.state = membership::MemberState::Dead;
            }
        }
        this->run(20ms);
    }

    std::shared_ptr<FakeResponder> bookAt(const VmName &name, const std::string &key)
    {
        auto responder = this->vm(name).handle(booking(key));
        this->deliver();
        return responder;
    }

    ManualClock clock;
    settings::ConfigurationHolder source;
    std::deque<FakeTransport::Datagram> wire;
    std::vector<membership::Member> members;
    std::vector<std::unique_ptr<TestVm>> vms;
    std::set<VmName> dead;
    bool isCut = false;
};

constexpr int kAnswered = 500;
constexpr int kNotRun = 501;
constexpr int kUnknown = 503;
constexpr int kInProgress = 504;
constexpr int kReused = 515;
}

Test(keyhome, repeated_key_is_answered_from_memory)
{
    Trio trio;
    const VmName home = trio.order("k").front();
    trio.bookAt(home, "k");
    cr_assert_eq(trio.bookAt(home, "k")->code(), kInProgress);
    trio.vm(home).client.answerFirst("booked");
    const auto repeat = trio.bookAt(home, "k");
    cr_assert_eq(repeat->code(), kAnswered);
    cr_assert_eq(repeat->answers.front().body, "booked");
    cr_assert_eq(trio.vm(home).client.sentCount, 1);
}

Test(keyhome, key_with_another_body_is_refused)
{
    Trio trio;
    const VmName home = trio.order("k").front();
    trio.bookAt(home, "k");
    net::HttpRequest other = booking("k");
    other.body = "another reed";
    cr_assert_eq(trio.vm(home).handle(std::move(other))->code(), kReused);
}

Test(keyhome, request_elsewhere_is_handed_to_the_home)
{
    Trio trio;
    const std::vector<VmName> order = trio.order("k");
    trio.bookAt(order[2], "k");
    const net::HttpCall &call = trio.vm(order[2]).client.calls.begin()->second.call;
    const membership::Member *home = trio.vm(order[2]).membership.find(order[0]);
    cr_assert(call.url.starts_with("http://" + net::endpointText(home->requests) + "/"));
}

Test(keyhome, nothing_runs_before_the_second_vm_has_confirmed)
{
    Trio trio;
    const VmName home = trio.order("k").front();
    trio.isCut = true;
    const auto responder = trio.bookAt(home, "k");
    cr_assert_eq(trio.vm(home).client.sentCount, 0);
    trio.run(300ms);
    cr_assert_eq(responder->code(), kNotRun);
    cr_assert_eq(trio.vm(home).client.sentCount, 0);
}

Test(keyhome, second_vm_that_sees_another_home_refuses_the_claim)
{
    Trio trio;
    const std::vector<VmName> order = trio.order("k");
    trio.distrust(order[0], order[1]);
    trio.distrust(order[2], order[0]);
    const auto responder = trio.bookAt(order[0], "k");
    trio.deliver();
    cr_assert_eq(responder->code(), kNotRun);
    cr_assert_eq(trio.vm(order[0]).client.sentCount, 0);
}

Test(keyhome, second_vm_answers_after_the_home_died)
{
    Trio trio;
    const std::vector<VmName> order = trio.order("k");
    trio.bookAt(order[0], "k");
    trio.vm(order[0]).client.answerFirst("booked");
    trio.deliver();
    trio.kill(order[0]);
    const auto repeat = trio.bookAt(order[1], "k");
    cr_assert_eq(repeat->code(), kAnswered);
    cr_assert_eq(trio.vm(order[1]).client.sentCount, 0);
}

Test(keyhome, home_that_died_while_running_leaves_the_outcome_unknown)
{
    Trio trio;
    const std::vector<VmName> order = trio.order("k");
    trio.bookAt(order[0], "k");
    trio.kill(order[0]);
    cr_assert_eq(trio.bookAt(order[1], "k")->code(), kInProgress);
    trio.run(11s);
    cr_assert_eq(trio.bookAt(order[1], "k")->code(), kUnknown);
}

Test(keyhome, vm_that_became_home_within_the_span_does_not_run)
{
    Trio trio;
    const std::vector<VmName> order = trio.order("k");
    trio.bookAt(order[0], "k");
    trio.kill(order[0]);
    trio.kill(order[1]);
    cr_assert_eq(trio.bookAt(order[2], "k")->code(), kUnknown);
    trio.run(31s);
    trio.bookAt(order[2], "k2");
    cr_assert_eq(trio.vm(order[2]).client.sentCount, 1);
}

Test(keyhome, paused_or_unconfident_home_does_not_run)
{
    Trio trio;
    const VmName home = trio.order("k").front();
    trio.vm(home).membership.confident = false;
    cr_assert_eq(trio.bookAt(home, "k")->code(), kUnknown);
    trio.vm(home).membership.confident = true;
    trio.clock.advance(5s);
    cr_assert_eq(trio.bookAt(home, "k")->code(), kUnknown);
}

Test(keyhome, request_that_did_not_run_may_be_repeated)
{
    Trio trio;
    const VmName home = trio.order("k").front();
    const auto first = trio.bookAt(home, "k");
    trio.vm(home).client.finishFirst({.reason = {ResultCode::StoreUnreachable, "refused"}});
    cr_assert_eq(first->code(), kNotRun);
    trio.deliver();
    trio.bookAt(home, "k");
    cr_assert_eq(trio.vm(home).client.sentCount, 2);
}
