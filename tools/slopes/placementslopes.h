#pragma once

#include "slopes/slope.h"

#include <vector>

namespace radishladder::slopes {

//! Memory and time of slot tables, by services of 19 upstreams.
std::vector<Slope> measurePlacement();
}
