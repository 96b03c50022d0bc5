#include "requests/tests/fakes.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace radishladder;
using namespace radishladder::requests;
using namespace std::chrono_literals;

namespace {
enum class KeyFate { Unused, Running, Answered, Unknown };

//! What a caller may expect of each key.
struct Model
{
    std::map<int, KeyFate> fates;

    //! Keys whose calls are at the upstream, oldest first.
    std::deque<int> calls;
};

//! One VM alone that can vouch for every key.
struct System
{
    System()
    {
        this->source.accept(portalConfiguration());
        this->vm.membership.list = {{.name = VmName("vm-1")}};
        this->vm.upstreams.slots = 100;
        for (int i = 0; i < 35; ++i) {
            this->clock.advance(1s);
            this->vm.engine.tick(this->clock.now());
        }
    }

    ManualClock clock;
    settings::ConfigurationHolder source;
    std::deque<FakeTransport::Datagram> wire;
    TestVm vm{VmName("vm-1"), source, clock, wire};
};

using Command = rc::state::Command<Model, System>;

int expectedCode(KeyFate fate)
{
    switch (fate) {
    case KeyFate::Running:
        return static_cast<int>(ResultCode::RequestInProgress);
    case KeyFate::Answered:
        return static_cast<int>(ResultCode::RequestAnswered);
    case KeyFate::Unknown:
        return static_cast<int>(ResultCode::RequestOutcomeUnknown);
    case KeyFate::Unused:
        break;
    }
    return 0;
}

//! A booking with a key; 0 is the code while it runs.
struct Book : Command
{
    int key = *rc::gen::inRange(0, 4);

    void apply(Model &model) const override
    {
        KeyFate &fate = model.fates[this->key];
        if (fate == KeyFate::Unused) {
            fate = KeyFate::Running;
            model.calls.push_back(this->key);
        }
    }

    void run(const Model &model, System &system) const override
    {
        const auto found = model.fates.find(this->key);
        const KeyFate fate = found == model.fates.end() ? KeyFate::Unused : found->second;
        const int before = system.vm.client.sentCount;
        const auto responder = system.vm.handle(booking("k" + std::to_string(this->key)));
        RC_ASSERT(responder->code() == expectedCode(fate));
        RC_ASSERT(system.vm.client.sentCount - before == (fate == KeyFate::Unused ? 1 : 0));
    }
};

//! The upstream's part in the oldest call.
template <KeyFate Fate>
struct End : Command
{
    void checkPreconditions(const Model &model) const override { RC_PRE(!model.calls.empty()); }

    void apply(Model &model) const override
    {
        model.fates[model.calls.front()] = Fate;
        model.calls.pop_front();
    }

    void run(const Model &, System &system) const override
    {
        if (Fate == KeyFate::Answered) {
            system.vm.client.answerFirst("booked");
        } else {
            system.vm.client.finishFirst({.reason = {ResultCode::StoreTimeout, "lost"},
                                          .anythingSent = Fate == KeyFate::Unknown});
        }
    }
};
}

Test(outcomemodel, a_key_has_one_fate_until_it_is_forgotten)
{
    cr_assert(rc::check([] {
        System system;
        rc::state::check(
            Model(), system,
            rc::state::gen::execOneOfWithArgs<Book, End<KeyFate::Answered>, End<KeyFate::Unknown>,
                                              End<KeyFate::Unused>>());
    }));
}
