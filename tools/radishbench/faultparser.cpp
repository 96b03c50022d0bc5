#include "radishbench/faultparser.h"

#include "radishbench/deployment.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace radishladder::radishbench {
namespace {
//! What follows the colon of a fault.
enum class TargetKind {
    None,
    Vm,
    Upstream,
    DataCentre,
    VmOrDataCentre,
    DataCentrePair,
    Length,
    Delay,
    Share,
};

enum class LengthRule {
    Never,
    Optional,
    Required,
};

struct KindRow
{
    const char *name;
    FaultKind kind;
    TargetKind target;
    LengthRule length;
};

constexpr KindRow kKinds[] = {
    {"vm-kill", FaultKind::VmKill, TargetKind::Vm, LengthRule::Never},
    {"vm-stop", FaultKind::VmStop, TargetKind::Vm, LengthRule::Never},
    {"vm-start", FaultKind::VmStart, TargetKind::Vm, LengthRule::Never},
    {"vm-pause", FaultKind::VmPause, TargetKind::Vm, LengthRule::Required},
    {"rolling-restart", FaultKind::RollingRestart, TargetKind::None, LengthRule::Never},
    {"upstream-drain", FaultKind::UpstreamDrain, TargetKind::Upstream, LengthRule::Never},
    {"upstream-undrain", FaultKind::UpstreamUndrain, TargetKind::Upstream, LengthRule::Never},
    {"upstream-cold", FaultKind::UpstreamCold, TargetKind::Upstream, LengthRule::Never},
    {"upstream-kill", FaultKind::UpstreamKill, TargetKind::Upstream, LengthRule::Never},
    {"upstream-start", FaultKind::UpstreamStart, TargetKind::Upstream, LengthRule::Never},
    {"upstream-shed", FaultKind::UpstreamShed, TargetKind::Upstream, LengthRule::Optional},
    {"store-down", FaultKind::StoreDown, TargetKind::Length, LengthRule::Never},
    {"store-slow", FaultKind::StoreSlow, TargetKind::Delay, LengthRule::Optional},
    {"store-lose-answers", FaultKind::StoreLoseAnswers, TargetKind::Length, LengthRule::Never},
    {"partition", FaultKind::Partition, TargetKind::DataCentrePair, LengthRule::Required},
    {"platform-cut", FaultKind::PlatformCut, TargetKind::VmOrDataCentre, LengthRule::Required},
    {"dc-out", FaultKind::DataCentreOut, TargetKind::DataCentre, LengthRule::Never},
    {"dc-in", FaultKind::DataCentreIn, TargetKind::DataCentre, LengthRule::Never},
    {"config-change", FaultKind::ConfigChange, TargetKind::None, LengthRule::Never},
    {"packet-loss", FaultKind::PacketLoss, TargetKind::Share, LengthRule::Optional},
    {"packet-duplicate", FaultKind::PacketDuplicate, TargetKind::Share, LengthRule::Optional},
    {"packet-reorder", FaultKind::PacketReorder, TargetKind::Share, LengthRule::Optional},
};

const char *targetText(TargetKind kind)
{
    switch (kind) {
    case TargetKind::None:
        return "";
    case TargetKind::Vm:
        return ":VM";
    case TargetKind::Upstream:
        return ":UPSTREAM";
    case TargetKind::DataCentre:
        return ":DC";
    case TargetKind::VmOrDataCentre:
        return ":VM|DC";
    case TargetKind::DataCentrePair:
        return ":DC|DC";
    case TargetKind::Length:
        return ":LENGTH";
    case TargetKind::Delay:
        return ":DELAY";
    case TargetKind::Share:
        return ":PERCENT%";
    }
    return "";
}

std::optional<double> parseNumber(const std::string &text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isWhole && std::isfinite(value) && value >= 0 ? std::make_optional(value) : std::nullopt;
}

std::optional<double> numberBefore(const std::string &text, const std::string &unit)
{
    if (!text.ends_with(unit)) {
        return std::nullopt;
    }
    return parseNumber(text.substr(0, text.size() - unit.size()));
}

std::chrono::milliseconds rounded(double milliseconds)
{
    constexpr double kLongest = 24.0 * 3600 * 1000;
    return std::chrono::milliseconds(std::llround(std::min(milliseconds, kLongest)));
}

struct Split
{
    std::string before;
    std::string after;
};

Split splitAt(const std::string &text, char separator)
{
    const auto place = text.find(separator);
    if (place == std::string::npos) {
        return {text, ""};
    }
    return {text.substr(0, place), text.substr(place + 1)};
}
}

std::optional<std::chrono::milliseconds> parseTime(const std::string &text,
                                                   std::chrono::milliseconds whole)
{
    if (const auto value = numberBefore(text, "ms")) {
        return rounded(*value);
    }
    if (const auto value = numberBefore(text, "s")) {
        return rounded(*value * 1000);
    }
    if (const auto value = numberBefore(text, "%")) {
        return rounded(*value / 100 * static_cast<double>(whole.count()));
    }
    return std::nullopt;
}

FaultParser::FaultParser(const Deployment &deployment, std::chrono::milliseconds duration)
    : duration(duration)
{
    for (const auto &vm : deployment.vms) {
        this->vms.push_back(vm.name.str());
    }
    for (const auto &service : deployment.configuration.services) {
        for (const auto &upstream : service.upstreams) {
            this->upstreams.push_back(upstream.name.str());
        }
    }
    for (const auto &dataCentre : deployment.configuration.dataCentres) {
        this->dataCentres.push_back(dataCentre.name.str());
    }
}

std::string FaultParser::kindsText()
{
    std::string text;
    for (const KindRow &row : kKinds) {
        text += std::string("  ") + row.name + "@TIME" + targetText(row.target);
        if (row.length != LengthRule::Never) {
            text += row.length == LengthRule::Required ? "/LENGTH" : "[/LENGTH]";
        }
        text += "\n";
    }
    return text;
}

std::optional<Fault> FaultParser::parse(const std::string &text)
{
    this->reason = {};
    this->current = text;
    const Split kindAndRest = splitAt(text, '@');
    const Split timeAndRest = splitAt(kindAndRest.after, ':');
    const Split targetAndLength = splitAt(timeAndRest.after, '/');
    const auto row = std::ranges::find(kKinds, kindAndRest.before, &KindRow::name);
    if (row == std::end(kKinds)) {
        this->fail(ResultCode::BadUsage, "kind", "'" + kindAndRest.before + "' is unknown");
        return std::nullopt;
    }
    const auto at = parseTime(timeAndRest.before, this->duration);
    if (!at || *at > this->duration) {
        this->fail(ResultCode::BadUsage, "time",
                   "'" + timeAndRest.before + "' is no time within the run, like 3s, 250ms or 25%");
        return std::nullopt;
    }
    Fault fault;
    fault.kind = row->kind;
    fault.at = *at;
    fault.text = text;
    const std::string &lengthText = targetAndLength.after;
    if (row->length == LengthRule::Never && !lengthText.empty()) {
        this->fail(ResultCode::BadUsage, "length", "this kind takes none");
        return std::nullopt;
    }
    if (row->length == LengthRule::Required && lengthText.empty()) {
        this->fail(ResultCode::BadUsage, "length", "this kind needs one, like /3s");
        return std::nullopt;
    }
    if (!this->parseTarget(fault, targetAndLength.before, lengthText)) {
        return std::nullopt;
    }
    return fault;
}

bool FaultParser::parseTarget(Fault &fault, const std::string &target,
                              const std::string &lengthText)
{
    if (!lengthText.empty()) {
        fault.length = parseTime(lengthText, this->duration);
        if (!fault.length) {
            return this->fail(ResultCode::BadUsage, "length", "'" + lengthText + "' is no time");
        }
    }
    fault.target = target;
    const TargetKind kind = std::ranges::find(kKinds, fault.kind, &KindRow::kind)->target;
    switch (kind) {
    case TargetKind::None:
        return target.empty() || this->fail(ResultCode::BadUsage, "target", "this kind takes none");
    case TargetKind::Vm:
        return this->checkName(target, this->vms, "VM");
    case TargetKind::Upstream:
        return this->checkName(target, this->upstreams, "upstream");
    case TargetKind::DataCentre:
        return this->checkName(target, this->dataCentres, "data centre");
    case TargetKind::VmOrDataCentre:
        return std::ranges::count(this->vms, target) > 0
            || this->checkName(target, this->dataCentres, "VM or data centre");
    case TargetKind::DataCentrePair: {
        const Split pair = splitAt(target, '|');
        fault.target = pair.before;
        fault.otherTarget = pair.after;
        return this->checkName(pair.before, this->dataCentres, "data centre")
            && this->checkName(pair.after, this->dataCentres, "data centre")
            && (pair.before != pair.after
                || this->fail(ResultCode::BadUsage, "target", "names one data centre twice"));
    }
    case TargetKind::Length:
        fault.length = parseTime(target, this->duration);
        return fault.length || this->fail(ResultCode::BadUsage, "target", "is no length like 5s");
    case TargetKind::Delay: {
        const auto delay = parseTime(target, this->duration);
        fault.delay = delay.value_or(std::chrono::milliseconds(0));
        return delay || this->fail(ResultCode::BadUsage, "target", "is no delay like 200ms");
    }
    case TargetKind::Share: {
        const auto percent = numberBefore(target, "%");
        fault.share = percent.value_or(0) / 100;
        return (percent && fault.share <= 1)
            || this->fail(ResultCode::BadUsage, "target", "is no share like 5%");
    }
    }
    return false;
}

bool FaultParser::checkName(const std::string &name, const std::vector<std::string> &known,
                            const std::string &what)
{
    if (std::ranges::count(known, name) > 0) {
        return true;
    }
    std::string list;
    for (const std::string &each : known) {
        list += (list.empty() ? "" : ", ") + each;
    }
    return this->fail(ResultCode::BadUsage, "target",
                      "'" + name + "' is no " + what + " of this deployment (" + list + ")");
}

bool FaultParser::fail(ResultCode code, const std::string &place, const std::string &why)
{
    this->reason = {code, "fault '" + this->current + "': " + place + ": " + why};
    return false;
}
}
