#pragma once

#include <json/value.h>
#include <string>

namespace radishladder::settings {

//! Path and parsed content of one overlay file.
struct Overlay
{
    std::string file;
    Json::Value json;
};
}
