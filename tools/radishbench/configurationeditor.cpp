#include "radishbench/configurationeditor.h"

#include "net/ieventloop.h"
#include "settings/configurationcodec.h"
#include "settings/types/encodedconfiguration.h"
#include "standins/storestandin.h"
#include "store/storekeys.h"

namespace radishladder::radishbench {
ConfigurationEditor::ConfigurationEditor(settings::Configuration first,
                                         standins::StoreStandin &store, net::IEventLoop &loop)
    : configuration(std::move(first)), store(store), loop(loop)
{ }

void ConfigurationEditor::change(const Edit &edit, Accepted accepted)
{
    edit(this->configuration);
    this->waiting.push_back(std::move(accepted));
    if (!this->isScheduled) {
        this->isScheduled = true;
        this->loop.post([this] { this->publish(); });
    }
}

void ConfigurationEditor::setStoreDown(bool down)
{
    this->isStoreDown = down;
    if (!down && !this->waiting.empty()) {
        this->publish();
    }
}

void ConfigurationEditor::publish()
{
    this->isScheduled = false;
    if (this->isStoreDown || this->waiting.empty()) {
        return;
    }
    ++this->configuration.generation;
    this->configuration.changeId = "bench-" + std::to_string(this->configuration.generation);
    const auto encoded = settings::ConfigurationCodec().encode(this->configuration);
    for (const auto &[digest, part] : encoded.partsByDigest) {
        this->store.put(std::string(store::kPartPrefix) + digest, part);
    }
    this->store.put(std::string(store::kConfigurationKey), encoded.head);
    const auto now = std::chrono::steady_clock::now();
    const std::vector<Accepted> ready = std::move(this->waiting);
    this->waiting.clear();
    for (const Accepted &accepted : ready) {
        accepted(this->configuration.generation, now);
    }
    if (this->listener) {
        this->listener(this->configuration.generation, now);
    }
}
}
