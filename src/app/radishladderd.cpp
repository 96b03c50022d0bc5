#include "app/vmprocess.h"
#include "settings/vmsettingsreader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings file of this VM, JSON with comments");
ABSL_FLAG(bool, check, false, "only check the settings");

namespace {
using namespace radishladder;

//! Prints \a reason and returns the exit status: the hundreds digit of the result code, which
//! stands for the code's group (see ResultCode).
int fail(const Reason &reason)
{
    std::cerr << "radishladderd: " << static_cast<int>(reason.code) << ' '
              << resultCodeName(reason.code) << ": " << reason.detail << '\n';
    return static_cast<int>(reason.code) / 100;
}
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Forwards packets of flows to upstreams.\n"
                                 "radishladderd --settings FILE [--check]");
    absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        return fail({ResultCode::BadUsage, "--settings FILE is required"});
    }
    settings::VmSettingsReader reader;
    const auto settings = reader.read(path);
    if (!settings) {
        return fail(reader.lastReason());
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": ok\n";
        return 0;
    }
    app::VmProcess process(*settings, path);
    return process.run() ? 0 : fail(process.lastReason());
}
