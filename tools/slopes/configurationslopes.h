#pragma once

#include "slopes/slope.h"

#include <vector>

namespace radishladder::slopes {

//! Size of the configuration, of one change, and the time to bring it into force, by services of 19
//! upstreams.
std::vector<Slope> measureConfiguration();
}
