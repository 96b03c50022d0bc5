#pragma once

#include "operations/iexplainer.h"
#include "operations/istatusprovider.h"

#include "global/reason.h"

namespace radishladder {
class IClock;
}
namespace radishladder::settings {
struct VmSettings;
}

namespace radishladder::app {
class Fleet;
class FlowParts;

//! Tells operators what this VM knows, and where it would send a flow or request.
class VmStatusProvider : public operations::IStatusProvider, public operations::IExplainer
{
public:
    VmStatusProvider(const settings::VmSettings &settings, const Fleet &fleet,
                     const FlowParts &flows, const IClock &clock);

    operations::VmStatus status() const override;
    std::optional<operations::Explanation> explain(
        const operations::ExplainQuestion &question) override;
    Reason lastReason() const override;

private:
    const settings::VmSettings &settings;
    const Fleet &fleet;
    const FlowParts &flows;
    const IClock &clock;
    Reason reason;
};
}
