#include "net/asioeventloop.h"
#include "operations/platformbackend.h"
#include "operations/types/applyresult.h"
#include "operations/types/storedconfiguration.h"
#include "operations/types/vmaddress.h"
#include "operations/types/vmanswer.h"
#include "settings/configurationfiles.h"
#include "standins/storestandin.h"
#include "store/storekeys.h"

#include <criterion/criterion.h>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::operations;

namespace {
net::Endpoint ownEndpoint(std::uint16_t port)
{
    return {0x7f330000 | (static_cast<std::uint32_t>(getpid()) & 0xffff), port};
}

settings::Configuration example()
{
    settings::ConfigurationFiles files;
    cr_assert(files.load("examples/kozmu/base.json", "examples/kozmu/overlays"));
    return *files.configuration();
}

ChangeRecord changeCalled(const std::string &id)
{
    return {.changeId = id, .operatorName = "op", .summary = id};
}

struct Fixture
{
    Fixture() { cr_assert(this->standin.start()); }
    standins::StoreStandin standin{ownEndpoint(2379)};
    PlatformBackend backend{{ownEndpoint(2379)}, "token"};
    Reason reason;
};
}

Test(operatorbackend, a_change_is_written_read_and_settled_after_a_lost_answer)
{
    Fixture f;
    settings::Configuration wanted = example();
    cr_assert(f.backend.apply(wanted, changeCalled("one")).reason.code == ResultCode::Ok);
    wanted.dataCentres[0].out = true;
    f.standin.setLoseAnswers(true);
    // Every write takes effect and none is answered; reading back settles each.
    const ApplyResult blind = f.backend.apply(wanted, changeCalled("two"));
    f.standin.setLoseAnswers(false);
    const auto stored = f.backend.readStored(f.reason);
    cr_assert(stored.has_value(), "%s", f.reason.detail.c_str());
    const bool isAccepted = stored->configuration.changeId == "two";
    cr_assert(isAccepted == (blind.reason.code == ResultCode::Ok), "%s",
              blind.reason.detail.c_str());
    wanted.dataCentres[1].out = true;
    f.standin.loseNextAnswer();
    cr_assert(f.backend.apply(wanted, changeCalled("three")).reason.code == ResultCode::Ok);
    cr_assert(f.backend.apply(wanted, changeCalled("four")).reason.code
              == ResultCode::ChangeNothingToDo);
}

Test(operatorbackend, an_outage_is_named_and_writes_nothing)
{
    Fixture f;
    f.standin.setDown(true);
    cr_assert(f.backend.apply(example(), changeCalled("one")).reason.code
              == ResultCode::StoreUnreachable);
    f.standin.setDown(false);
    cr_assert(f.backend.readStored(f.reason)->headRevision == 0);
}

Test(operatorbackend, vms_of_the_platforms_list_are_called_and_silent_ones_named)
{
    Fixture f;
    cr_assert(!f.backend.vms(f.reason).has_value());
    cr_assert(f.reason.code == ResultCode::StoreKeyMissing);
    const std::string host = net::addressText(ownEndpoint(0).address);
    f.standin.put(std::string(store::kVmListKey),
                  R"([{"name":"vm-1","dataCentre":"obuda","data":")" + host + R"(:7000","peer":")"
                      + host + R"(:7010","requests":")" + host + R"(:7080","admin":")" + host
                      + R"(:7090"}])");
    const auto vms = f.backend.vms(f.reason);
    cr_assert(vms && vms->size() == 1, "%s", f.reason.detail.c_str());
    const auto answers = f.backend.callAll(*vms, "status", Json::objectValue);
    cr_assert(answers.size() == 1 && !answers[0].result && answers[0].vm == VmName("vm-1"));
}
