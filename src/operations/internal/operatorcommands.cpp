#include "operations/operatorcommands.h"

#include "global/iclock.h"
#include "global/irandom.h"
#include "operations/callcodec.h"
#include "operations/internal/commandoutput.h"
#include "operations/ioperatorbackend.h"
#include "operations/overlayeditor.h"
#include "operations/types/applyresult.h"
#include "operations/types/storedconfiguration.h"
#include "operations/types/vmaddress.h"
#include "operations/types/vmanswer.h"
#include "operations/types/vmstatus.h"
#include "settings/configurationdiff.h"
#include "settings/configurationfiles.h"

#include <absl/strings/str_format.h>

namespace radishladder::operations {
namespace {
constexpr std::chrono::milliseconds kPollPeriod{200};

std::string changeIdFrom(IRandom &random)
{
    const std::uint64_t high = random.next();
    const std::uint64_t low = random.next();
    return absl::StrFormat("%016x%016x", high, low);
}
}

OperatorCommands::OperatorCommands(IOperatorBackend &backend, const IClock &clock, IRandom &random,
                                   CommandOptions options)
    : backend(backend), clock(clock), random(random), options(std::move(options))
{ }

CommandResult OperatorCommands::run(const std::vector<std::string> &words)
{
    const std::string command = words.empty() ? "" : words[0];
    if (words.size() == 1 && command == "check") {
        return this->check();
    }
    if (words.size() == 1 && command == "diff") {
        return this->diff();
    }
    if (words.size() == 1 && command == "apply") {
        return this->apply();
    }
    if (words.size() == 1 && command == "history") {
        return this->history();
    }
    if (words.size() == 1 && command == "status") {
        return this->status();
    }
    if (words.size() == 1 && command == "explain") {
        return this->explain();
    }
    if (words.size() == 1 && command == "timeline") {
        return this->timeLine();
    }
    if (words.size() == 2 && command == "drain") {
        return this->drain(words[1]);
    }
    if (words.size() == 3 && command == "dc" && (words[1] == "out" || words[1] == "in")) {
        return this->moveDataCentre(words[2], words[1] == "out");
    }
    if (words.size() == 2 && (command == "freeze" || command == "unfreeze")) {
        return this->freeze(words[1], command == "freeze");
    }
    return failed({ResultCode::BadUsage,
                   "commands: check, diff, apply, history, status, explain, timeline, "
                   "drain UPSTREAM, dc out SITE, dc in SITE, freeze SITE, unfreeze SITE"});
}

CommandResult OperatorCommands::check()
{
    settings::ConfigurationFiles files;
    if (!files.load(this->options.base, this->options.overlays)) {
        return failed(files.lastReason());
    }
    const auto configuration = files.configuration();
    if (!configuration) {
        return failed(files.lastReason());
    }
    CommandResult result;
    result.lines.push_back(absl::StrFormat("valid: %d data centres, %d services",
                                           configuration->dataCentres.size(),
                                           configuration->services.size()));
    result.json["dataCentres"] = static_cast<Json::UInt64>(configuration->dataCentres.size());
    result.json["services"] = static_cast<Json::UInt64>(configuration->services.size());
    return result;
}

CommandResult OperatorCommands::diff()
{
    settings::ConfigurationFiles files;
    if (!files.load(this->options.base, this->options.overlays)) {
        return failed(files.lastReason());
    }
    const auto wanted = files.configuration();
    if (!wanted) {
        return failed(files.lastReason());
    }
    Reason reason;
    const auto stored = this->backend.readStored(reason);
    if (!stored) {
        return failed(reason);
    }
    CommandResult result;
    const auto found = settings::differences(stored->configuration, *wanted);
    result.lines.push_back(absl::StrFormat("%d differences from generation %d", found.size(),
                                           stored->configuration.generation));
    result.json["generation"] = static_cast<Json::UInt64>(stored->configuration.generation);
    addDifferences(found, result);
    return result;
}

CommandResult OperatorCommands::apply()
{
    settings::ConfigurationFiles files;
    if (!files.load(this->options.base, this->options.overlays)) {
        return failed(files.lastReason());
    }
    const auto wanted = files.configuration();
    return wanted ? this->applyConfiguration(*wanted, this->options.summary)
                  : failed(files.lastReason());
}

CommandResult OperatorCommands::applyConfiguration(const settings::Configuration &wanted,
                                                   const std::string &summary)
{
    ChangeRecord change;
    change.changeId = changeIdFrom(this->random);
    change.operatorName = this->options.operatorName;
    change.time = std::chrono::time_point_cast<std::chrono::milliseconds>(this->clock.wallNow());
    change.summary = summary;
    const ApplyResult applied = this->backend.apply(wanted, change);
    CommandResult result;
    if (applied.reason.code != ResultCode::Ok) {
        result = failed(applied.reason);
    } else {
        result.lines.push_back(absl::StrFormat("accepted as generation %d, change %s",
                                               applied.change.generation, change.changeId));
    }
    result.json["changeId"] = change.changeId;
    result.json["generation"] = static_cast<Json::UInt64>(applied.change.generation);
    if (applied.winner) {
        result.lines.push_back(absl::StrFormat(
            "generation %d by %s won: %s; what differs from it:", applied.winner->generation,
            applied.winner->operatorName, applied.winner->summary));
        result.json["winner"]["changeId"] = applied.winner->changeId;
        result.json["winner"]["operator"] = applied.winner->operatorName;
        result.json["winner"]["summary"] = applied.winner->summary;
    }
    addDifferences(applied.differences, result);
    if (applied.reason.code == ResultCode::Ok) {
        this->waitForAll(applied.change.generation, result);
    }
    return result;
}

void OperatorCommands::waitForAll(std::uint64_t generation, CommandResult &result)
{
    Reason reason;
    const auto vms = this->backend.vms(reason);
    if (!vms) {
        result.lines.push_back("the list of VMs cannot be read: " + reason.detail);
        result.code = ResultCode::ChangeNotEverywhere;
        return;
    }
    std::vector<std::string> without;
    std::vector<std::string> silent;
    for (auto waited = std::chrono::milliseconds(0);; waited += kPollPeriod) {
        without = this->vmsWithout(generation, *vms, silent);
        if (without.empty() || waited >= this->options.wait) {
            break;
        }
        this->backend.pause(kPollPeriod);
    }
    result.json["without"] = namesJson(without);
    result.json["unreachable"] = namesJson(silent);
    if (!silent.empty()) {
        result.lines.push_back("unreachable: " + joined(silent));
    }
    if (!without.empty()) {
        result.code = ResultCode::ChangeNotEverywhere;
        result.lines.push_back("803 ChangeNotEverywhere: not yet on " + joined(without));
        return;
    }
    result.lines.push_back(
        absl::StrFormat("in force on %d of %d VMs", vms->size() - silent.size(), vms->size()));
}

std::vector<std::string> OperatorCommands::vmsWithout(std::uint64_t generation,
                                                      const std::vector<VmAddress> &vms,
                                                      std::vector<std::string> &silent)
{
    std::vector<std::string> without;
    silent.clear();
    for (const VmAnswer &answer : this->backend.callAll(vms, "status", Json::objectValue)) {
        Reason reason;
        const auto status = answer.result ? readStatus(*answer.result, reason) : std::nullopt;
        if (!status) {
            silent.push_back(answer.vm.str());
        } else if (status->generation < generation) {
            without.push_back(answer.vm.str());
        }
    }
    return without;
}

CommandResult OperatorCommands::drain(const std::string &upstreamName)
{
    settings::ConfigurationFiles files;
    if (!files.load(this->options.base, this->options.overlays)) {
        return failed(files.lastReason());
    }
    const auto configuration = files.configuration();
    if (!configuration) {
        return failed(files.lastReason());
    }
    for (const settings::Service &service : configuration->services) {
        for (const settings::Upstream &upstream : service.upstreams) {
            if (upstream.name.str() == upstreamName) {
                OverlayEditor editor(files.overlayOf(upstream.dataCentre.str()));
                editor.setDrain(service.name.str(), upstreamName, !this->options.off);
                return this->editAndApply(
                    files, editor, (this->options.off ? "undo drain " : "drain ") + upstreamName);
            }
        }
    }
    return failed({ResultCode::UnknownUpstream, upstreamName + " is not configured"});
}

CommandResult OperatorCommands::moveDataCentre(const std::string &site, bool out)
{
    settings::ConfigurationFiles files;
    if (!files.load(this->options.base, this->options.overlays)) {
        return failed(files.lastReason());
    }
    OverlayEditor editor(files.overlayOf(site));
    editor.setDataCentreOut(out);
    return this->editAndApply(files, editor, (out ? "dc out " : "dc in ") + site);
}

CommandResult OperatorCommands::freeze(const std::string &site, bool freeze)
{
    settings::ConfigurationFiles files;
    if (!files.load(this->options.base, this->options.overlays)) {
        return failed(files.lastReason());
    }
    OverlayEditor editor(files.overlayOf(site));
    editor.setFreeze(freeze);
    CommandResult result =
        this->editAndApply(files, editor, (freeze ? "freeze " : "unfreeze ") + site);
    const auto configuration = files.configuration();
    if (!freeze && configuration && configuration->freeze) {
        result.lines.push_back("still frozen by the base file or another overlay");
        result.json["stillFrozen"] = true;
    }
    return result;
}

CommandResult OperatorCommands::editAndApply(settings::ConfigurationFiles &files,
                                             const OverlayEditor &editor,
                                             const std::string &summary)
{
    if (this->options.overlays.empty()) {
        return failed({ResultCode::BadUsage, "--overlays DIR is required"});
    }
    files.setOverlay(editor.edited());
    const auto wanted = files.configuration();
    if (!wanted) {
        return failed(files.lastReason());
    }
    Reason reason;
    if (!editor.save(reason)) {
        return failed(reason);
    }
    CommandResult result = this->applyConfiguration(
        *wanted, this->options.summary.empty() ? summary : this->options.summary);
    result.lines.insert(result.lines.begin(),
                        "changed " + editor.edited().file + " (its comments are lost)");
    result.json["file"] = editor.edited().file;
    return result;
}
}
