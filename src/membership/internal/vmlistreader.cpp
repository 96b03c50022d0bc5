#include "membership/vmlistreader.h"

#include "membership/types/listedvm.h"
#include "settings/fieldreader.h"
#include "settings/jsonfile.h"

namespace radishladder::membership {
namespace {
// Unknown fields are left alone: the list is the platform's, and may say more than is needed here.
ListedVm readEntry(settings::FieldReader &reader)
{
    ListedVm vm;
    vm.name = VmName(reader.text("name"));
    vm.dataCentre = DataCentreName(reader.text("dataCentre"));
    vm.data = reader.endpoint("data");
    vm.peer = reader.endpoint("peer");
    vm.requests = reader.endpoint("requests");
    vm.admin = reader.endpoint("admin");
    vm.leaving = reader.booleanOr("leaving", false);
    return vm;
}
}

std::optional<std::vector<ListedVm>> VmListReader::read(const std::string &text)
{
    this->reason = {};
    const auto json = settings::parseJson(text, "list of VMs", this->reason);
    if (!json) {
        return std::nullopt;
    }
    if (!json->isArray()) {
        this->reason = {ResultCode::FieldType, "list of VMs: is not an array"};
        return std::nullopt;
    }
    std::vector<ListedVm> list;
    for (const Json::Value &entry : *json) {
        if (!entry.isObject()) {
            this->reason = {ResultCode::FieldType, "list of VMs: holds an entry that is no object"};
            return std::nullopt;
        }
        settings::FieldReader reader(entry, "/" + std::to_string(list.size()), this->reason);
        list.push_back(readEntry(reader));
        if (!reader.isOk()) {
            return std::nullopt;
        }
    }
    return list;
}
}
