#include "slopes/slope.h"

#include <numeric>

namespace radishladder::slopes {
namespace {
double mean(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}
}

Slope::Slope(std::string role, std::string quantity, std::string perWhat)
    : role(std::move(role)), quantity(std::move(quantity)), perWhat(std::move(perWhat))
{ }

void Slope::add(double size, double value)
{
    this->sizes.push_back(size);
    this->values.push_back(value);
}

double Slope::gradient() const
{
    const double meanSize = mean(this->sizes);
    const double meanValue = mean(this->values);
    double products = 0;
    double squares = 0;
    for (std::size_t i = 0; i < this->sizes.size(); ++i) {
        products += (this->sizes[i] - meanSize) * (this->values[i] - meanValue);
        squares += (this->sizes[i] - meanSize) * (this->sizes[i] - meanSize);
    }
    return squares == 0 ? 0 : products / squares;
}

double Slope::intercept() const
{
    return mean(this->values) - this->gradient() * mean(this->sizes);
}

double Slope::at(double size) const
{
    return this->intercept() + this->gradient() * size;
}

Json::Value Slope::json() const
{
    Json::Value json(Json::objectValue);
    json["role"] = this->role;
    json["quantity"] = this->quantity;
    json["per"] = this->perWhat;
    json["slope"] = this->gradient();
    json["intercept"] = this->intercept();
    json["points"] = Json::Value(Json::arrayValue);
    for (std::size_t i = 0; i < this->sizes.size(); ++i) {
        Json::Value point(Json::arrayValue);
        point.append(this->sizes[i]);
        point.append(this->values[i]);
        json["points"].append(point);
    }
    return json;
}
}
