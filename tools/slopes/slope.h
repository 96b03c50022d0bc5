#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace radishladder::slopes {

//! One quantity measured at several sizes, with the line fitted through the points.
class Slope
{
public:
    Slope(std::string role, std::string quantity, std::string perWhat);

    void add(double size, double value);

    //! Fitted value at \a size.
    double at(double size) const;

    Json::Value json() const;

private:
    double gradient() const;
    double intercept() const;

    std::string role;
    std::string quantity;
    std::string perWhat;
    std::vector<double> sizes;
    std::vector<double> values;
};
}
