#pragma once

#include "upstreams/types/loadreport.h"

#include <string>

namespace radishladder::net {
struct HttpAnswer;
}

namespace radishladder::upstreams {

//! Report in the answer to GET /load. An answer without a readable state proves only that the
//! upstream answers and counts as Ready; a refusal as Shedding.
LoadReport parseLoadReport(const net::HttpAnswer &answer);
}
