// Keeps a request that crashes targets from being sent to more and more of them.
//
//   CrashGuard guard(context, exchange);
//   if (guard.isKnownToCrash()) stop();
//   m_reporter = guard.reportCrash(address, [](std::optional<std::size_t> crashes) { ... });
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

class CrashReporter;
struct EntryContext;

// CrashGuard runs on the thread of its context, which outlives it.
class CrashGuard {
public:
    // Callback receives how often the request crashed a target, or nothing if no host could be told.
    using Callback = std::function<void(std::optional<std::size_t> crashes)>;

    // `exchange` holds the request whose method, host, path and body identify it.
    CrashGuard(EntryContext& context, std::shared_ptr<const http::Exchange> exchange);

    // isKnownToCrash() returns whether the same request has crashed too many targets, of any caller and at any host.
    [[nodiscard]] auto isKnownToCrash() const -> bool;

    // isTooMany() returns whether a request that crashed so many targets must not be sent again.
    [[nodiscard]] static auto isTooMany(std::optional<std::size_t> crashes) -> bool;

    // reportCrash() reports that the target at `address` ended the connection while it executed the request. `callback`
    // may be empty.
    auto reportCrash(const std::string& address, Callback callback) -> std::shared_ptr<CrashReporter>;

    // recordSuccess() clears a request that was thought to crash targets, or that ran on one that crashed.
    auto recordSuccess() -> void;

private:
    [[nodiscard]] auto fingerprint() const -> std::uint64_t;

    EntryContext& m_context;
    std::shared_ptr<const http::Exchange> m_exchange;
};

} // namespace coriandergate::relay
