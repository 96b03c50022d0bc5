#pragma once

#include <json/value.h>
#include <string>

namespace radishladder::settings {

//! Path and parsed content of one overlay file, which changes the base file for one data centre
//! (its "site").
struct Overlay
{
    std::string file;
    Json::Value json;
};
}
