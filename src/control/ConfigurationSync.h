// Carries out what a ConfigurationKeeper decides: asks the store and the peers, pulls, announces, and answers peers.
//
//   auto sync = std::make_shared<ConfigurationSync>(workers, 0, changes, keeper, peers, options);
//   sync->start();
//   peerRouter->add("GET", headPath, [sync](auto exchange) { sync->answerHead(std::move(exchange)); });
#pragma once

#include "base/Clock.h"
#include "config/KeeperAction.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate {
struct Error;
}
namespace coriandergate::config {
class ConfigurationKeeper;
class PeerDirectory;
}
namespace coriandergate::http {
class Client;
class Exchange;
class WorkerPool;
}

namespace coriandergate::control {

class ChangeStore;
struct PulledConfiguration;

// ConfigurationSync works on one worker of a pool that serves no requests, since taking a configuration of full size
// takes it a tenth of a second. The answer functions may be called from any worker of the daemon.
class ConfigurationSync : public std::enable_shared_from_this<ConfigurationSync> {
public:
    struct Options {
        std::string self; // this daemon's peer address
        std::chrono::milliseconds tickInterval { 100 };
        std::chrono::milliseconds askTimeout { 1000 };
        std::chrono::milliseconds deltaTimeout { 1000 };
        std::chrono::milliseconds snapshotTimeout { 5000 };
        std::function<void()> onTaken; // the keeper has a newer configuration; on the sync's worker
        std::function<void(const std::string& source, const Error& reason)> onPullFailed; // likewise
    };

    // Counters grow from 0 and may be read from any thread.
    struct Counters {
        std::atomic<std::uint64_t> storeReads = 0;
        std::atomic<std::uint64_t> asks = 0;
        std::atomic<std::uint64_t> pulls = 0;
        std::atomic<std::uint64_t> failedPulls = 0;
        // To and from peers, answers included: bodies, and the fixed part of the headers.
        std::atomic<std::uint64_t> bytesSent = 0;
        std::atomic<std::uint64_t> bytesReceived = 0;
    };

    // `workers` must outlive the sync.
    ConfigurationSync(http::WorkerPool& workers, std::size_t worker, std::shared_ptr<ChangeStore> changes,
        std::shared_ptr<config::ConfigurationKeeper> keeper, std::shared_ptr<const config::PeerDirectory> peers,
        const Options& options);
    ~ConfigurationSync();

    // start() begins to tick. On the main thread.
    auto start() -> void;

    // stop() ends the ticks and drops the calls under way. On the main thread.
    auto stop() -> void;

    // answerHead(), answerAnnouncement() and answerPull() serve the three paths of SyncMessage.h.
    auto answerHead(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto answerAnnouncement(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto answerPull(const std::shared_ptr<http::Exchange>& exchange, http::WorkerPool& exchangeWorkers) -> void;

    [[nodiscard]] auto counters() const -> const Counters& { return m_counters; }

private:
    auto tick() -> void;
    auto carryOut(const config::PollStore& poll) -> void;
    auto carryOut(const config::AskPeer& ask) -> void;
    auto carryOut(const config::AnnounceToPeer& announcement) -> void;
    auto carryOut(const config::Pull& pull) -> void;
    auto pullFromPeer(const config::Pull& pull) -> void;
    auto pullFromStore(const config::Pull& pull) -> void;
    auto pullSnapshotFromStore(const config::Pull& pull) -> void;
    auto take(const config::Pull& pull, const PulledConfiguration& pulled) -> void;
    auto fail(const config::Pull& pull, const Error& reason) -> void;
    auto onWorker(std::function<void()> task) -> void;
    auto countAsked(std::size_t bodyBytes) -> void;
    auto countAnswered(std::size_t requestBytes, std::size_t answerBytes) -> void;
    [[nodiscard]] auto pulledFor(const config::ConfigurationHead& from) -> std::string;

    http::WorkerPool& m_workers;
    const std::size_t m_worker;
    const std::shared_ptr<ChangeStore> m_changes;
    const std::shared_ptr<config::ConfigurationKeeper> m_keeper;
    const std::shared_ptr<const config::PeerDirectory> m_peers;
    const Options m_options;
    std::unique_ptr<http::Client> m_client; // on the worker only
    std::atomic<bool> m_isRunning = false;
    std::atomic<std::size_t> m_pendingPulls = 0; // of peers, waiting for their answers
    Counters m_counters;
};

} // namespace coriandergate::control
