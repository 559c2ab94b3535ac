// What this host knows of the requests that crash targets, from its own attempts and from reports of other hosts.
//
// A request that has crashed several targets is marked by a row in the store, which all hosts watch. None of them
// retries it from then on, also after a restart of the whole fleet. While the store can't be written, the hosts to
// which the crashes are reported (CrashReporter) still tell their number.
//
//   CrashRegistry registry(directory, store, { .table = "hosts", .region = "west" });
//   if (registry.record({ .fingerprint = fingerprint, .target = address }, monotonicNow())
//       >= dispatch::CrashTracker::s_maximumCrashes) ...
#pragma once

#include "base/Clock.h"
#include "dispatch/CrashTracker.h"
#include "fleet/StoreClient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace coriandergate::fleet {
class HostDirectory;
}

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

struct CrashReport;

// CrashRegistry is used on one thread. Directory and store outlive it.
class CrashRegistry {
public:
    // How long a mark stays after the last crash. Within it, callers that repeat a request usually have given up.
    static constexpr std::chrono::hours s_markLifetime { 1 };

    struct Options {
        std::string table; // of the rows
        std::string region; // of this host
        std::size_t maximumMarks = 256; // more requests are not marked
        std::chrono::milliseconds refreshAfter { std::chrono::milliseconds(s_markLifetime)
            / 2 }; // a mark is renewed at a crash after this time
    };
    using StoreClock = std::function<std::optional<std::chrono::milliseconds>()>;

    CrashRegistry(const fleet::HostDirectory& directory, fleet::StoreClient& store, Options options);
    ~CrashRegistry();
    CrashRegistry(const CrashRegistry&) = delete;
    auto operator=(const CrashRegistry&) -> CrashRegistry& = delete;

    // setStoreClock() sets the function that reads the store's clock. Without a time, no row is written.
    auto setStoreClock(StoreClock storeClock) -> void { m_storeClock = std::move(storeClock); }

    // handle() serves a CrashReport of another host.
    auto handle(const std::shared_ptr<http::Exchange>& exchange) -> void;

    // record() records a crash or a success, marks or unmarks the request in the store, and returns the number of its
    // crashes that are known here.
    auto record(const CrashReport& report, MonotonicTime now) -> std::size_t;

    // crashesTargets() returns whether the request is marked.
    [[nodiscard]] auto crashesTargets(std::uint64_t fingerprint) const -> bool;

    // hasMarks() returns whether any request is marked.
    [[nodiscard]] auto hasMarks() const -> bool;

private:
    auto mark(std::uint64_t fingerprint, std::size_t crashes) -> void;
    auto unmark(std::uint64_t fingerprint) -> void;
    auto write(const std::string& key, std::optional<std::string> value) -> void;

    const fleet::HostDirectory& m_directory;
    fleet::StoreClient& m_store;
    Options m_options;
    StoreClock m_storeClock;
    dispatch::CrashTracker m_tracker { {} };
    std::set<std::string> m_pendingWrites; // keys
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::relay
