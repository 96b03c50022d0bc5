#pragma once

#include <json/value.h>
#include <string>

namespace radishladder::settings {

//! One overlay file as it was read.
struct Overlay
{
    std::string file;
    Json::Value json;
};
}
