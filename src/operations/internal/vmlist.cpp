#include "operations/vmlist.h"

#include "operations/types/vmaddress.h"
#include "settings/fieldreader.h"
#include "settings/jsonfile.h"

namespace radishladder::operations {
std::optional<std::vector<VmAddress>> readVmAddresses(const std::string &text, Reason &reason)
{
    reason = {};
    const auto json = settings::parseJson(text, "list of VMs", reason);
    if (!json) {
        return std::nullopt;
    }
    if (!json->isArray()) {
        reason = {ResultCode::FieldType, "list of VMs: / is not an array"};
        return std::nullopt;
    }
    std::vector<VmAddress> vms;
    for (const Json::Value &item : *json) {
        settings::FieldReader reader(item, "list of VMs", reason);
        vms.push_back({VmName(reader.text("name")), DataCentreName(reader.text("dataCentre")),
                       reader.endpoint("admin")});
    }
    return reason.code == ResultCode::Ok ? std::make_optional(vms) : std::nullopt;
}
}
