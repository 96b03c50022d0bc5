#include "operations/configurationapplier.h"

#include "operations/internal/applyrun.h"

namespace radishladder::operations {
ConfigurationApplier::ConfigurationApplier(store::IChangeStore &store) : store(store) { }

ConfigurationApplier::~ConfigurationApplier() = default;

void ConfigurationApplier::apply(settings::Configuration wanted, ChangeRecord change,
                                 Handler handler)
{
    this->run = std::make_shared<Run>(this->store, std::move(wanted), std::move(change),
                                      std::move(handler));
    this->run->start();
}
}
