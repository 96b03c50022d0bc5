#pragma once

#include "global/reason.h"

#include <json/value.h>
#include <string>

namespace radishladder::settings {
struct Overlay;

//! Checks that an overlay touches nothing but its own site.
class OverlayScope
{
public:
    //! \a merged is the configuration before \a overlay is applied.
    OverlayScope(const Json::Value &merged, const Overlay &overlay);

    //! False with \a reason set if the overlay goes beyond its site.
    bool check(Reason &reason);

private:
    void checkDataCentres();
    void checkServices();
    void checkUpstream(const Json::Value &current, const Json::Value &item,
                       const std::string &path);
    void fail(const std::string &path, const std::string &detail);

    const Json::Value &merged;
    const Overlay &overlay;
    std::string site;
    Reason reason;
};
}
