#pragma once

#include "global/reason.h"
#include "settings/types/overlay.h"

#include <string>

namespace radishladder::operations {

//! Changes one thing in an overlay and writes the file in one step. Comments in the file are lost.
class OverlayEditor
{
public:
    explicit OverlayEditor(settings::Overlay overlay) : overlay(std::move(overlay)) { }

    void setDataCentreOut(bool out);
    void setDrain(const std::string &service, const std::string &upstream, bool drain);
    void setFreeze(bool freeze);

    const settings::Overlay &edited() const { return this->overlay; }

    //! Replaces the file; false with \a reason set if that fails, and then the file is as before.
    bool save(Reason &reason) const;

private:
    settings::Overlay overlay;
};
}
