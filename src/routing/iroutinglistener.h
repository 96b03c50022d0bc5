#pragma once

#include "global/name.h"

#include <string>
#include <vector>

namespace radishladder::routing {
struct Configuration;

//! Told of what operators change.
class IRoutingListener
{
public:
    virtual ~IRoutingListener() = default;

    virtual void onConfiguration(Configuration configuration) = 0;

    //! A configuration could not be read; the one in force stays.
    virtual void onConfigurationRejected(const std::string &detail) = 0;

    //! All data centres that are out now; every other one is in.
    virtual void onEvacuations(const std::vector<DataCentreName> &out) = 0;

    virtual void onEvacuated(const DataCentreName &dataCentre) = 0;
    virtual void onTakenBack(const DataCentreName &dataCentre) = 0;
};
}
