#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace radishladder {

//! String wrapper with a distinct type for each kind of name, so that the compiler rejects a name
//! of another kind.
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : text(std::move(text)) { }

    const std::string &str() const { return this->text; }
    bool isEmpty() const { return this->text.empty(); }

    auto operator<=>(const Name &) const = default;

private:
    std::string text;
};

using VmName = Name<struct VmTag>;
using DataCentreName = Name<struct DataCentreTag>;
using ServiceName = Name<struct ServiceTag>;
using UpstreamName = Name<struct UpstreamTag>;
}

template <typename Tag>
struct std::hash<radishladder::Name<Tag>>
{
    std::size_t operator()(const radishladder::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.str());
    }
};
