// Keeps this daemon's configuration with the fleet's, and serves the operators' API.
#pragma once

#include "base/Clock.h"
#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::config {
class ConfigurationKeeper;
class PeerDirectory;
}
namespace coriandergate::control {
class ChangeStore;
class ConfigurationSync;
class OperatorApi;
}
namespace coriandergate::http {
class WorkerPool;
}
namespace coriandergate::member {
class PeerTable;
}
namespace coriandergate::proxy {
class SnapshotHolder;
}
namespace coriandergate::settings {
class Settings;
}
namespace coriandergate::store {
class MemoryStore;
class RemoteStore;
}

namespace coriandergate::daemon {

class ControlPlugin : public kernel::Plugin {
public:
    ControlPlugin();
    ~ControlPlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    struct Metrics;

    auto makeKeeper(const settings::Settings& settings, const std::string& self) -> void;
    [[nodiscard]] auto openStore(const settings::Settings& settings, Error& reason) -> bool;
    [[nodiscard]] auto seedMemoryStore(Error& reason) -> bool;
    auto startSync(kernel::Kernel& kernel) -> void;
    [[nodiscard]] auto startApi(kernel::Kernel& kernel, Error& reason) -> bool;
    auto startMetrics(kernel::Kernel& kernel) -> void;
    auto watch() -> void;

    std::unique_ptr<http::WorkerPool> m_workers; // one for the sync, one for the API
    std::shared_ptr<proxy::SnapshotHolder> m_holder;
    std::shared_ptr<config::ConfigurationKeeper> m_keeper;
    std::shared_ptr<member::PeerTable> m_table;
    std::shared_ptr<const config::PeerDirectory> m_peers;
    std::unique_ptr<store::MemoryStore> m_memoryStore;
    std::unique_ptr<store::RemoteStore> m_syncStore;
    std::unique_ptr<store::RemoteStore> m_apiStore;
    std::shared_ptr<control::ChangeStore> m_syncChanges;
    std::shared_ptr<control::ChangeStore> m_apiChanges;
    std::shared_ptr<control::ConfigurationSync> m_sync;
    std::shared_ptr<control::OperatorApi> m_api;
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<QTimer> m_watch;
    bool m_wasStoreHeard = true;
    bool m_wasFresh = true;
    bool m_wasStoreBehind = false;
};

} // namespace coriandergate::daemon
