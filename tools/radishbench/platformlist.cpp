#include "radishbench/platformlist.h"

#include "net/ieventloop.h"
#include "settings/jsonfile.h"
#include "standins/fabricstandin.h"
#include "standins/storestandin.h"
#include "store/storekeys.h"

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kListLag{3000};
}

PlatformList::PlatformList(std::vector<settings::VmSettings> listed, standins::StoreStandin &store,
                           standins::FabricStandin &fabric, net::IEventLoop &loop)
    : vms(std::move(listed)), entries(this->vms.size()), store(store), fabric(fabric), loop(loop)
{ }

void PlatformList::publish()
{
    Json::Value list(Json::arrayValue);
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        if (!this->entries[i].listed) {
            continue;
        }
        const settings::VmSettings &vm = this->vms[i];
        Json::Value item(Json::objectValue);
        item["name"] = vm.name.str();
        item["dataCentre"] = vm.dataCentre.str();
        item["data"] = net::endpointText(vm.data);
        item["peer"] = net::endpointText(vm.peer);
        item["requests"] = net::endpointText(vm.requests);
        item["admin"] = net::endpointText(vm.admin);
        item["leaving"] = this->entries[i].leaving;
        list.append(item);
    }
    this->store.put(std::string(store::kVmListKey), settings::jsonText(list));
}

void PlatformList::vmStarted(std::size_t index)
{
    this->changeLater(index, {.listed = true, .leaving = false});
}

void PlatformList::vmLeaving(std::size_t index)
{
    this->changeLater(index, {.listed = true, .leaving = true});
}

void PlatformList::vmGone(std::size_t index)
{
    this->changeLater(index, {.listed = false, .leaving = false});
}

void PlatformList::changeLater(std::size_t index, Entry entry)
{
    this->loop.after(kListLag, [this, index, entry] {
        this->entries[index] = entry;
        this->fabric.setListed(index, entry.listed && !entry.leaving);
        this->publish();
    });
}
}
