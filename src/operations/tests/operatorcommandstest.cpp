#include "operations/operatorcommands.h"
#include "global/manualclock.h"
#include "global/seededrandom.h"
#include "operations/callcodec.h"
#include "operations/ioperatorbackend.h"
#include "operations/timelineformat.h"
#include "operations/types/applyresult.h"
#include "operations/types/explanation.h"
#include "operations/types/storedconfiguration.h"
#include "operations/types/vmaddress.h"
#include "operations/types/vmanswer.h"
#include "operations/types/vmstatus.h"
#include "telemetry/timeline.h"

#include <criterion/parameterized.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::operations;

namespace {
//! Three VMs, of which the last does not answer; the second has a change after \a polls polls.
struct FakeBackend : IOperatorBackend
{
    std::optional<StoredConfiguration> readStored(Reason &) override { return this->stored; }
    ApplyResult apply(const settings::Configuration &wanted, const ChangeRecord &change) override
    {
        this->applied.push_back(wanted);
        ApplyResult result{.reason = this->outcome, .change = change};
        result.change.generation = 5;
        return result;
    }
    std::optional<std::vector<VmAddress>> vms(Reason &) override
    {
        return std::vector<VmAddress>{{VmName("vm-1")}, {VmName("vm-2")}, {VmName("vm-3")}};
    }
    std::vector<VmAnswer> callAll(const std::vector<VmAddress> &, const std::string &method,
                                  const Json::Value &parameters) override
    {
        this->asked = parameters;
        if (method == "status") {
            const std::uint64_t second = this->polls-- > 0 ? 4 : 5;
            return {answer("vm-1", statusOf("vm-1", 5)),
                    answer("vm-2", statusOf("vm-2", second)),
                    {.vm = VmName("vm-3")}};
        }
        return {answer("vm-1", this->first), answer("vm-2", this->second), {.vm = VmName("vm-3")}};
    }
    void pause(std::chrono::milliseconds) override { }

    static VmAnswer answer(const char *vm, const Json::Value &result)
    {
        return {.vm = VmName(vm), .result = result};
    }
    static Json::Value statusOf(const char *vm, std::uint64_t generation)
    {
        return statusJson(
            {.vm = VmName(vm), .dataCentre = DataCentreName("obuda"), .generation = generation});
    }

    StoredConfiguration stored;
    std::vector<settings::Configuration> applied;
    Reason outcome;
    int polls = 0;
    Json::Value asked;
    Json::Value first;
    Json::Value second;
};

struct Fixture
{
    Fixture()
        : directory(std::filesystem::temp_directory_path()
                    / ("radishladder-commands-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(this->directory);
        std::filesystem::copy("examples/kozmu", this->directory,
                              std::filesystem::copy_options::recursive);
        this->options.base = this->directory / "base.json";
        this->options.overlays = this->directory / "overlays";
    }
    ~Fixture() { std::filesystem::remove_all(this->directory); }

    CommandResult run(const std::vector<std::string> &words)
    {
        return OperatorCommands(this->backend, this->clock, this->random, this->options).run(words);
    }
    std::string overlayText(const std::string &site) const
    {
        std::ostringstream text;
        text << std::ifstream(this->directory / "overlays" / (site + ".json")).rdbuf();
        return text.str();
    }

    std::filesystem::path directory;
    FakeBackend backend;
    ManualClock clock;
    SeededRandom random{1};
    CommandOptions options;
};

bool isOut(const settings::Configuration &configuration, const char *site)
{
    for (const settings::DataCentre &dataCentre : configuration.dataCentres) {
        if (dataCentre.name.str() == site) {
            return dataCentre.out;
        }
    }
    return false;
}
}

struct UsageCase
{
    char words[3][24];
    ResultCode code;
};

ParameterizedTestParameters(commands, bad_use_is_refused)
{
    static UsageCase cases[] = {
        {{"", "", ""}, ResultCode::BadUsage},
        {{"launch", "", ""}, ResultCode::BadUsage},
        {{"drain", "", ""}, ResultCode::BadUsage},
        {{"dc", "up", "obuda"}, ResultCode::BadUsage},
        {{"explain", "", ""}, ResultCode::BadUsage},
        {{"drain", "nobody", ""}, ResultCode::UnknownUpstream},
        {{"dc", "out", "nowhere"}, ResultCode::UnknownDataCentre},
        {{"freeze", "nowhere", ""}, ResultCode::UnknownDataCentre},
    };
    return cr_make_param_array(UsageCase, cases, sizeof(cases) / sizeof(UsageCase));
}

ParameterizedTest(UsageCase *row, commands, bad_use_is_refused)
{
    Fixture f;
    std::vector<std::string> words;
    for (const char *word : row->words) {
        if (*word != '\0') {
            words.emplace_back(word);
        }
    }
    cr_assert(f.run(words).code == row->code);
    cr_assert(f.backend.applied.empty());
    cr_assert(!std::filesystem::exists(f.directory / "overlays" / "nowhere.json"));
}

Test(commands, apply_waits_for_all_that_answer_and_names_the_others)
{
    Fixture f;
    f.backend.polls = 3;
    const CommandResult result = f.run({"apply"});
    cr_assert(result.code == ResultCode::Ok);
    cr_assert_eq(result.json["unreachable"][0].asString(), std::string("vm-3"));
    f.backend.polls = 1000;
    const CommandResult late = f.run({"apply"});
    cr_assert(late.code == ResultCode::ChangeNotEverywhere);
    cr_assert_eq(late.json["without"][0].asString(), std::string("vm-2"));
}

Test(commands, a_change_that_lost_is_reported_with_its_code)
{
    Fixture f;
    f.backend.outcome = {ResultCode::ChangeLost, "change x was accepted first"};
    cr_assert(f.run({"apply"}).code == ResultCode::ChangeLost);
}

Test(commands, dc_out_and_in_edit_the_overlay_of_the_site)
{
    Fixture f;
    cr_assert(f.run({"dc", "out", "ujpest"}).code == ResultCode::Ok);
    cr_assert(isOut(f.backend.applied.back(), "ujpest"));
    cr_assert(f.overlayText("ujpest").find("\"out\" : true") != std::string::npos);
    cr_assert(f.run({"dc", "in", "ujpest"}).code == ResultCode::Ok);
    cr_assert(!isOut(f.backend.applied.back(), "ujpest"));
}

Test(commands, drain_and_freeze_edit_the_overlay_and_can_be_undone)
{
    Fixture f;
    cr_assert(f.run({"drain", "hangfogado-obuda-1"}).code == ResultCode::Ok);
    cr_assert(f.backend.applied.back().services[1].upstreams[0].drain);
    f.options.off = true;
    cr_assert(f.run({"drain", "hangfogado-obuda-1"}).code == ResultCode::Ok);
    cr_assert(!f.backend.applied.back().services[1].upstreams[0].drain);
    cr_assert(f.run({"freeze", "obuda"}).code == ResultCode::Ok);
    cr_assert(f.run({"freeze", "ujpest"}).code == ResultCode::Ok);
    cr_assert(f.backend.applied.back().freeze);
    const CommandResult still = f.run({"unfreeze", "obuda"});
    cr_assert(f.backend.applied.back().freeze && still.json["stillFrozen"].asBool());
    f.run({"unfreeze", "ujpest"});
    cr_assert(!f.backend.applied.back().freeze);
}

Test(commands, a_bad_overlay_changes_nothing)
{
    Fixture f;
    std::ofstream(f.directory / "overlays" / "ujpest.json") << R"({"site": "ujpest", "port": 1})";
    const std::string before = f.overlayText("obuda");
    cr_assert(f.run({"dc", "out", "obuda"}).code == ResultCode::OverlayMismatch);
    cr_assert(f.run({"apply"}).code == ResultCode::OverlayMismatch);
    cr_assert(f.run({"check"}).code == ResultCode::OverlayMismatch);
    cr_assert(f.backend.applied.empty());
    cr_assert(f.overlayText("obuda") == before);
}

Test(commands, timeline_merges_vms_in_causal_order_and_names_the_silent)
{
    Fixture f;
    ManualClock skewed;
    skewed.skewWall(std::chrono::milliseconds(-5000));
    telemetry::TimeLine one(f.clock, VmName("vm-1"), DataCentreName("obuda"));
    telemetry::TimeLine two(skewed, VmName("vm-2"), DataCentreName("ujpest"));
    one.record({.kind = "cause"});
    two.observe(one.stamp());
    two.record({.kind = "effect"});
    f.backend.first.append(eventJson(one.events()[0]));
    f.backend.second.append(eventJson(two.events()[0]));
    const CommandResult result = f.run({"timeline"});
    cr_assert(result.code == ResultCode::VmUnreachable);
    cr_assert_eq(result.json["unreachable"][0].asString(), std::string("vm-3"));
    cr_assert_eq(result.json["events"][0]["kind"].asString(), std::string("cause"));
    cr_assert_eq(result.json["events"][1]["kind"].asString(), std::string("effect"));
    cr_assert(result.lines[0].find("event=cause") != std::string::npos);
    f.options.timeLineFormat = "chrome";
    // Two data centres, two VMs, two events.
    cr_assert_eq(f.run({"timeline"}).json["traceEvents"].size(), 6);
}

Test(commands, explain_asks_the_vms_and_passes_their_refusal_on)
{
    Fixture f;
    f.options.service = "mutermi-portal";
    f.options.caller = "127.0.0.5:4000";
    f.backend.first = explanationJson({UpstreamName("h1"), VmName("vm-2"), "table"});
    f.backend.second = f.backend.first;
    const CommandResult result = f.run({"explain"});
    cr_assert_eq(f.backend.asked["caller"].asString(), std::string("127.0.0.5:4000"));
    cr_assert_eq(result.json["answers"][0]["upstream"].asString(), std::string("h1"));
    f.backend.first = Json::Value(Json::objectValue);
    f.backend.first["error"]["code"] = 110;
    f.backend.first["error"]["detail"] = "no such service";
    cr_assert(f.run({"explain"}).code == ResultCode::UnknownService);
}
