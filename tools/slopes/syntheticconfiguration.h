#pragma once

#include "settings/types/configuration.h"

namespace radishladder::slopes {

//! \a services services with \a upstreams upstreams each, spread over 28 data centres.
settings::Configuration syntheticConfiguration(std::size_t services, std::size_t upstreams);
}
