// Asks the homes of a client account's rate whether one more request is within it.
//
// Homes in this region are asked first, then one of another. Homes that had none left, or weren't reached lately, are
// left out.
//
//   m_rateCheck = RateCheck::start(context, { .account = account, .requestId = id, .timeLeft = 900ms },
//       [](const dispatch::RatePool::Decision& decision) { ... });
//   m_rateCheck->cancel(); // when it isn't needed any more
#pragma once

#include "base/Clock.h"
#include "dispatch/RatePool.h"
#include "net/HttpClient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriandergate::relay {

struct EntryContext;

// RateCheck is used on the thread of its context, which outlives it.
class RateLimitCheck : public std::enable_shared_from_this<RateLimitCheck> {
public:
    // The decision has no turn when no home could tell.
    using Done = std::function<void(const dispatch::RatePool::Decision& decision)>;

    struct Request {
        const config::ClientAccount& account; // outlives the check
        std::string requestId; // for the log
        std::chrono::milliseconds timeLeft; // of the request
    };

    // start() asks and calls `done` once, at once or later, unless the check is cancelled before.
    static auto start(EntryContext& context, Request request, Done done) -> std::shared_ptr<RateLimitCheck>;

    RateLimitCheck(EntryContext& context, Request request, Done done);

    auto cancel() -> void;

private:
    auto chooseHomes() -> void;
    auto askNext() -> void;
    auto onAnswer(const std::string& home, const net::HttpClient::Result& result) -> void;
    auto end(const dispatch::RatePool::Decision& decision) -> void;
    [[nodiscard]] auto isSpent(const std::string& home, MonotonicTime now) -> bool;
    [[nodiscard]] auto isAvoided(const std::string& home, MonotonicTime now) const -> bool;
    auto noteTurn(std::chrono::milliseconds turnIn) -> void;

    EntryContext& m_context;
    Request m_request;
    MonotonicTime m_endsAt;
    Done m_done;
    std::vector<std::string> m_homes; // still to be asked, the last one next
    std::optional<std::chrono::milliseconds> m_turnIn; // until some home has a request left; nothing if none said so
    net::HttpClient::Call m_call = 0;
};

} // namespace coriandergate::relay
