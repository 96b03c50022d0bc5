#pragma once

#include "global/name.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishladder::routing {
struct Configuration;

//! Receives changes of the configuration and evacuations of data centres that operators make.
class IRoutingListener
{
public:
    virtual ~IRoutingListener() = default;

    virtual void onConfiguration(Configuration configuration) = 0;

    //! Called when a configuration is malformed; the active one stays.
    virtual void onConfigurationRejected(const std::string &detail) = 0;

    //! Called with the complete list of evacuated data centres; all others are in service.
    virtual void onEvacuations(const std::vector<DataCentreName> &evacuated) = 0;

    //! Called when every change that the store accepted before \a confirmedAt has been reported.
    virtual void onUpToDate(std::chrono::steady_clock::time_point confirmedAt) = 0;

    //! Called before the first listing of a store that was restored from an older copy, which may
    //! lack evacuations.
    virtual void onEraChanged() { }

    virtual void onEvacuated(const DataCentreName &dataCentre) = 0;
    virtual void onEvacuationEnded(const DataCentreName &dataCentre) = 0;
};
}
