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
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
    // setStoreClock() sets the function that reads the store's clock. Without a time, no row is written.
    auto setStoreClock(StoreClock storeClock) -> void { m_storeClock = std::move(storeClock); }

    // onStoreRestored() is called when the store came back from an older copy. onHostsChanged() is called after each
    // change of the directory; after a restore it writes the marks again that this host made and the store lost.
    auto onStoreRestored() -> void { m_mustCheckMarks = true; }
    auto onHostsChanged() -> void;

    // marksWrittenAgain() is their number.
    [[nodiscard]] auto marksWrittenAgain() const -> std::uint64_t { return m_marksWrittenAgain; }

    // handle() serves a CrashReport of another host.
    auto handle(const std::shared_ptr<http::Exchange>& exchange) -> void;

    // record() records a crash or a success and returns the number of the request's crashes that are known here.
    auto record(const CrashReport& report, MonotonicTime now) -> std::size_t;

    // recordAndMark() does the same, and marks or unmarks the request in the store if that is due. Only the few hosts
    // that count the request's crashes call it, so that a mark costs few calls to the store.
    auto recordAndMark(const CrashReport& report, MonotonicTime now) -> std::size_t;

    // crashesTargets() returns whether the request is marked.
    [[nodiscard]] auto crashesTargets(std::uint64_t fingerprint) const -> bool;

    // hasMarks() returns whether any request is marked.
    [[nodiscard]] auto hasMarks() const -> bool;

    // isEmpty() returns whether no request is marked and no crash is known here.
    [[nodiscard]] auto isEmpty() const -> bool { return m_tracker.size() == 0 && !hasMarks(); }

    // tryBeginSuccessReport() returns whether a success of the request should be reported: a crash of it is known here
    // or it is marked, and none was reported in the last seconds.
    [[nodiscard]] auto tryBeginSuccessReport(std::uint64_t fingerprint, MonotonicTime now) -> bool;

private:
    // Pause between two writes of a row and between two reports of a success: until then this host usually sees the
    // effect of the first one.
    static constexpr std::chrono::milliseconds s_pause { 2000 };

    // RecentEvents remembers events for s_pause.
    template <typename Key> class RecentEvents {
    public:
        // tryAdd() adds an event unless the same one is remembered.
        [[nodiscard]] auto tryAdd(const Key& key, MonotonicTime now) -> bool
        {
            std::erase_if(m_times, [now](const auto& entry) { return entry.second + s_pause <= now; });
            return m_times.try_emplace(key, now).second;
        }

    private:
        std::map<Key, MonotonicTime> m_times;
    };

    struct WrittenMark {
        std::string value;
        bool isSeen = false; // the row was in the directory
    };

    auto forgetRemovedMarks() -> void;
    auto restoreLostMarks() -> void;
    auto mark(std::uint64_t fingerprint, std::size_t crashes, MonotonicTime now) -> void;
    auto unmark(std::uint64_t fingerprint, MonotonicTime now) -> void;
    auto write(const std::string& key, std::optional<std::string> value) -> void;

    const fleet::HostDirectory& m_directory;
    fleet::StoreClient& m_store;
    Options m_options;
    StoreClock m_storeClock;
    dispatch::CrashTracker m_tracker { {} };
    std::map<std::string, WrittenMark> m_marks; // of this host, by the row's key
    std::uint64_t m_marksWrittenAgain = 0;
    bool m_mustCheckMarks = false;
    RecentEvents<std::string> m_recentWrites; // by the row's key
    RecentEvents<std::uint64_t> m_recentSuccessReports; // by fingerprint
};

} // namespace coriandergate::relay
