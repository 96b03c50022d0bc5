#pragma once

#include "global/reason.h"
#include "radishbench/types/fault.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::radishbench {
struct Deployment;

//! Reads faults written as KIND@TIME[:TARGET][/LENGTH].
class FaultParser
{
public:
    //! A TIME in percent is a share of \a duration; targets are looked up in \a deployment.
    FaultParser(const Deployment &deployment, std::chrono::milliseconds duration);

    //! std::nullopt if \a text is no fault (see lastReason(), which names the place).
    std::optional<Fault> parse(const std::string &text);

    const Reason &lastReason() const { return this->reason; }

    //! Every kind with what follows it, for the usage text.
    static std::string kindsText();

private:
    bool parseTarget(Fault &fault, const std::string &target, const std::string &lengthText);
    bool checkName(const std::string &name, const std::vector<std::string> &known,
                   const std::string &what);
    bool fail(ResultCode code, const std::string &place, const std::string &why);

    std::vector<std::string> vms;
    std::vector<std::string> upstreams;
    std::vector<std::string> dataCentres;
    std::chrono::milliseconds duration;
    std::string current;
    Reason reason;
};

//! Reads "3s", "250ms" or, as a share of \a whole, "25%".
std::optional<std::chrono::milliseconds> parseTime(const std::string &text,
                                                   std::chrono::milliseconds whole);
}
