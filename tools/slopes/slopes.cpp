#include "slopes/configurationslopes.h"
#include "slopes/placementslopes.h"

#include <iostream>

// Measures how state and cost grow with size and prints the fitted lines; docs/CAPACITY.md is
// worked out from them.

int main()
{
    using namespace radishladder::slopes;
    Json::Value json(Json::arrayValue);
    for (const auto &measure : {&measureConfiguration, &measurePlacement}) {
        for (const Slope &slope : measure()) {
            json.append(slope.json());
        }
    }
    std::cout << json.toStyledString();
    return 0;
}
