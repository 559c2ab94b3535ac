// Reports a target's crash during a request to the hosts that count the crashes of that request, and asks how many they
// know of.
//
// Each request has a few such hosts in the whole fleet, selected by rendezvous hashing of its fingerprint. Two of them
// are told, so that a restart of one loses no count; those that don't respond are replaced by the next ones.
//
//   m_crashReporter = CrashReporter::start(context, report, [](std::optional<std::size_t> crashes) { ... });
//   m_crashReporter->detach(); // when the count is no longer needed; the reports are still delivered
#pragma once

#include "net/HttpClient.h"
#include "relay/PeerMessages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriandergate::relay {

struct EntryContext;

// CrashReporter runs on the thread of its context, which must outlive it.
class CrashReporter : public std::enable_shared_from_this<CrashReporter> {
public:
    // Callback receives the highest count, or nothing if no host could be told.
    using Callback = std::function<void(std::optional<std::size_t> crashes)>;

    // start() records the report on this host, sends it to the others and calls `callback` once, possibly before it
    // returns. `callback` may be empty.
    static auto start(EntryContext& context, CrashReport report, Callback callback) -> std::shared_ptr<CrashReporter>;

    CrashReporter(EntryContext& context, CrashReport report, Callback callback);

    // detach() drops the callback.
    auto detach() -> void { m_callback = nullptr; }

private:
    static constexpr std::size_t s_counters = 2; // hosts that are told
    static constexpr std::size_t s_candidates = 4; // hosts that are tried

    auto chooseCandidates() -> void;
    auto tellNext() -> void;
    auto tell(const std::string& address) -> void;
    auto onResponse(const net::HttpClient::Result& result) -> void;
    auto finishIfDone() -> void;

    EntryContext& m_context;
    CrashReport m_report;
    Callback m_callback;
    std::vector<std::string> m_candidates; // keys of hosts not tried yet, the first ones at the back; any may have left
    std::size_t m_pending = 0;
    std::size_t m_told = 0;
    std::size_t m_crashes = 0;
};

} // namespace coriandergate::relay
