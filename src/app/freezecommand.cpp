#include "app/freezecommand.h"

#include "net/libeventhttpconnection.h"
#include "net/libeventloop.h"
#include "platform/storeclient.h"
#include "store/types/storestatus.h"
#include "store/types/storewrite.h"
#include "switches/freezeswitch.h"

namespace radishladder::app {
namespace {
ResultCode codeOf(store::StoreStatus status)
{
    switch (status) {
    case store::StoreStatus::Ok:
        return ResultCode::Ok;
    case store::StoreStatus::Refused:
        return ResultCode::StoreRefused;
    case store::StoreStatus::Conflict:
        return ResultCode::StoreConflict;
    default:
        return ResultCode::StoreUnreachable;
    }
}
}

Reason writeFreeze(const net::Endpoint &store, const std::optional<DataCentreName> &scope,
                   bool isFrozen)
{
    net::LibeventLoop loop;
    platform::StoreClient client(
        [&loop, &store]() { return std::make_unique<net::LibeventHttpConnection>(loop, store); });
    Reason reason;
    const store::StoreWrite write{.key = switches::FreezeSwitch::key(scope),
                                  .value = switches::FreezeSwitch::value(isFrozen)};
    client.write(write, [&loop, &reason](store::StoreStatus status, const std::string &detail) {
        reason = {codeOf(status), detail};
        loop.stop();
    });
    loop.run();
    return reason;
}
}
