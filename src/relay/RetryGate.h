// The step of a request that decides whether it may be sent to a further target: the retry budget of its service, a
// retry borrowed from another host, and the number of targets that the request has crashed.
//
//   m_retryGate->acquire(address, [](std::string_view objection) { ... }); // before each attempt
//   m_retryGate->countCrash(address, [](bool isCrashing) { ... }); // after an attempt whose target broke off
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coriandergate::relay {

class CrashReporter;
class RetryBorrower;
struct CallerRequest;

// RetryGate runs on the thread of the request's context, which outlives it.
class RetryGate : public std::enable_shared_from_this<RetryGate> {
public:
    // AcquireCallback receives why the request must not be sent again; empty if it may.
    using AcquireCallback = std::function<void(std::string_view objection)>;
    // CrashCallback receives whether the request has crashed too many targets to be sent again.
    using CrashCallback = std::function<void(bool isCrashing)>;

    explicit RetryGate(std::shared_ptr<CallerRequest> request);

    // acquire() charges the next attempt, which goes to the host at `peer`, to the retry budget unless it is the first
    // one or was charged already. Calls `callback` once, possibly before it returns, unless cancel() comes first.
    auto acquire(const std::string& peer, AcquireCallback callback) -> void;

    // countCrash() reports that the target at `peer` ended the connection while it executed the request, and calls
    // `callback` once, possibly before it returns, unless cancel() comes first. The report is delivered anyway.
    auto countCrash(const std::string& peer, CrashCallback callback) -> void;

    // cancel() drops the callbacks that are due.
    auto cancel() -> void;

private:
    auto borrow(const std::string& peer, AcquireCallback callback) -> void;
    auto logCharge(const std::string& peer, std::string_view chargedTo) -> void;
    auto onBudgetExhausted(const std::string& peer, const AcquireCallback& callback) -> void;

    std::shared_ptr<CallerRequest> m_request;
    std::shared_ptr<RetryBorrower> m_borrower; // set once other hosts are asked to lend a retry
    std::shared_ptr<CrashReporter> m_crashReporter; // set while the crashes of the request are asked for
};

} // namespace coriandergate::relay
