// Checks a request against its client account's rate limit.
//
// In each region a few hosts own an account's rate limit, and each grants a share of it. The owners in this region are
// asked first, in random order, then one owner in another region. Owners that recently had no request left or gave no
// decision are skipped.
//
//   m_rateLimitCheck = RateLimitCheck::start(context, { .account = account, .requestId = id, .timeLeft = 900ms },
//       [](const dispatch::AccountRateLimiter::Decision& decision) { ... });
//   m_rateLimitCheck->cancel(); // when the decision is no longer needed
#pragma once

#include "base/Clock.h"
#include "dispatch/AccountRateLimiter.h"
#include "net/HttpClient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriandergate::relay {

struct EntryContext;

// RateLimitCheck runs on the thread of its context, which must outlive it.
class RateLimitCheck : public std::enable_shared_from_this<RateLimitCheck> {
public:
    // The decision has no `retryAfter` when no owner said when the next request is allowed.
    using Callback = std::function<void(const dispatch::AccountRateLimiter::Decision& decision)>;

    struct Request {
        std::shared_ptr<const config::ClientAccount> account; // not null
        std::string requestId; // for log events
        std::chrono::milliseconds timeLeft; // until the request's deadline
    };

    // start() asks the owners and calls `callback` exactly once, possibly before it returns. After cancel() the
    // callback is not called.
    static auto start(EntryContext& context, Request request, Callback callback) -> std::shared_ptr<RateLimitCheck>;

    RateLimitCheck(EntryContext& context, Request request, Callback callback);

    auto cancel() -> void;

private:
    auto chooseOwners() -> void;
    auto askNext() -> void;
    auto onResponse(const std::string& owner, const net::HttpClient::Result& result) -> void;
    auto finish(const dispatch::AccountRateLimiter::Decision& decision) -> void;
    // isExhausted() also records the time until the owner can grant the next request, if it returns true.
    [[nodiscard]] auto isExhausted(const std::string& owner, MonotonicTime now) -> bool;
    [[nodiscard]] auto isAvoided(const std::string& owner, MonotonicTime now) const -> bool;
    auto recordRetryAfter(std::chrono::milliseconds retryAfter) -> void;

    EntryContext& m_context;
    Request m_request;
    MonotonicTime m_deadline;
    Callback m_callback;
    std::vector<std::string> m_owners; // not asked yet; the last one is asked next
    std::optional<std::chrono::milliseconds> m_retryAfter; // the shortest that any owner returned; nullopt if none did
    net::HttpClient::Call m_call = 0;
};

} // namespace coriandergate::relay
