#pragma once

namespace radishladder {
class IRandom;
}

namespace radishladder::placement {

//! Returns a uniformly distributed number from 0 to 1.
double uniform(IRandom &random);
}
