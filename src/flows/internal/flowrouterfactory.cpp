#include "flows/flowrouterfactory.h"

#include "flows/flowrouter.h"
#include "flows/hashcacherouter.h"
#include "flows/hashrouter.h"
#include "flows/homerouter.h"

namespace radishladder::flows {
std::unique_ptr<IFlowRouter> createFlowRouter(settings::FlowMechanism mechanism,
                                              const FlowDependencies &dependencies,
                                              const FlowOptions &options)
{
    settings::IConfigurationSource &source = dependencies.configuration;
    switch (mechanism) {
    case settings::FlowMechanism::Hash:
        return std::make_unique<HashRouter>(source);
    case settings::FlowMechanism::HashCache:
        return std::make_unique<HashCacheRouter>(source, options.cacheCapacity);
    case settings::FlowMechanism::Home:
        return std::make_unique<HomeRouter>(source, dependencies.membership, options.cacheCapacity);
    case settings::FlowMechanism::Epochs:
        break;
    }
    return std::make_unique<FlowRouter>(dependencies, options);
}
}
