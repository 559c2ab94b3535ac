// What the entry and the owner of one daemon share: its workers, its clients and the parts that decide.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Locality.h"
#include "config/Freshness.h"
#include "http/Client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace coriandergate::config {
struct Snapshot;
}
namespace coriandergate::http {
class WorkerPool;
}
namespace coriandergate::member {
class TargetRegistry;
}

namespace coriandergate::status {
class ServiceOutcomeTable;
}

namespace coriandergate::proxy {

class AttemptObserver;
class OnceGate;
class PoisonGate;
class RateGate;
class RetryGate;
class SlotGate;
class TargetChooser;

// ProxyContext doesn't change once the daemon serves. A part that is null decides nothing.
struct ProxyContext {
    std::shared_ptr<http::WorkerPool> workers;
    std::vector<std::unique_ptr<http::Client>> clients; // one a worker, used on that worker only
    std::function<std::shared_ptr<const config::Snapshot>()> snapshot; // null until a configuration is known
    std::function<config::Freshness(MonotonicTime now)> freshness; // of the configuration; null: always current
    std::shared_ptr<member::TargetRegistry> targets;
    DaemonIdentity self; // its address takes forwarded requests
    Locality locality;
    std::chrono::milliseconds cancelGrace { 20 }; // a slot stays taken so long after its request was cancelled

    std::shared_ptr<status::ServiceOutcomeTable> serviceBoard; // for the status text

    std::shared_ptr<RateGate> rateGate;
    std::shared_ptr<OnceGate> onceGate;
    std::shared_ptr<PoisonGate> poisonGate;
    std::shared_ptr<RetryGate> retryGate;
    std::shared_ptr<TargetChooser> targetChooser;
    std::shared_ptr<SlotGate> slotGate;
    std::shared_ptr<AttemptObserver> observer;

    // client() is the HTTP client of worker `index`.
    [[nodiscard]] auto client(std::size_t index) const -> http::Client& { return *clients.at(index); }

    // freshnessAt() is how far the configuration may be relied on at `now`.
    [[nodiscard]] auto freshnessAt(MonotonicTime now) const -> config::Freshness
    {
        return freshness ? freshness(now) : config::Freshness::Current;
    }

    // runOn() runs `task` on worker `index`: at once when called there, else soon.
    auto runOn(std::size_t index, std::function<void()> task) const -> void;
};

} // namespace coriandergate::proxy
