#pragma once

#include "global/reason.h"

#include <json/value.h>
#include <string>

namespace radishladder::settings {
struct Overlay;

//! Checks that an overlay changes only the data centre that is its site and the upstreams there. As
//! the one exception, an overlay may freeze the whole system.
class OverlayScope
{
public:
    //! \a merged is the base file with the overlays that are merged before \a overlay.
    OverlayScope(const Json::Value &merged, const Overlay &overlay);

    //! Returns false and sets \a reason if the overlay changes anything else.
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
