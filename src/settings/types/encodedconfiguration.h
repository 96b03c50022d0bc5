#pragma once

#include <map>
#include <string>

namespace radishladder::settings {

//! A configuration as it is stored: a small head and one part a service, named by its digest.
struct EncodedConfiguration
{
    std::string head;
    std::map<std::string, std::string> partsByDigest;
};
}
