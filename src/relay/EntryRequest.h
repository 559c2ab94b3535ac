// One request of a caller, from its last byte to its answer.
//
//   EntryRequest::start(context, exchange);
#pragma once

#include "config/ClientAccount.h"
#include "config/Route.h"
#include "dispatch/RatePool.h"
#include "http/Request.h"
#include "net/HttpClient.h"
#include "relay/EntryContext.h"
#include "relay/PeerMessages.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

class RetryBorrower;
class RateLimitCheck;

// EntryRequest lives as long as its answer is owed.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
    // start() takes a whole request and answers it once, later or at once. `context` outlives the request.
    static auto start(EntryContext& context, std::shared_ptr<http::Exchange> exchange) -> void;

    EntryRequest(EntryContext& context, std::shared_ptr<http::Exchange> exchange);
    ~EntryRequest();
    EntryRequest(const EntryRequest&) = delete;
    auto operator=(const EntryRequest&) -> EntryRequest& = delete;

    // begin() takes the request up; the daemon knows configuration and hosts, or has waited for them long enough.
    auto begin() -> void;

    // capDeadline() gives the request its final answer at `time` at the latest: the daemon ends soon after.
    auto capDeadline(MonotonicTime time) -> void;

private:
    // Stage says what a request may still hope for.
    enum class Stage {
        Quick, // a free slot
        Waiting, // a slot in time for its target latency
        Late, // a slot before its deadline
        Over,
    };

    auto waitForNews(MonotonicTime until) -> void;
    [[nodiscard]] auto checkKey() -> bool;
    auto checkRate() -> void;
    auto onRateDecision(const dispatch::RatePool::Decision& decision) -> void;
    auto onWithinRate() -> void;
    auto readDeadline() -> void;
    auto armGiveUpTimer() -> void;
    auto prepare() -> void;
    auto place() -> void;
    [[nodiscard]] auto chooseTarget() -> dispatch::TargetBoard::TargetPointer;
    auto advanceStage() -> void;
    auto reserve() -> void;
    [[nodiscard]] auto patience(MonotonicTime now) const -> std::chrono::milliseconds;
    auto onReserved(net::HttpClient::Result result) -> void;
    auto onSlotRefused(const http::Answer& answer) -> void;
    auto run() -> void;
    [[nodiscard]] auto isKeyWithdrawn() const -> bool;
    auto borrowAttempt() -> void;
    auto onOutOfAttempts() -> void;
    auto sendRun() -> void;
    auto takeBackAttempt() -> void;
    auto onRun(net::HttpClient::Result result) -> void;
    auto onTargetAnswer(http::Answer answer) -> void;
    auto tryAgainOr(http::Answer lastAnswer, std::string_view why) -> void;
    auto takeNews(const http::Answer& answer) -> void;
    auto endAttempt() -> void;
    auto retryLater() -> void;
    auto onGiveUp() -> void;
    auto onAbandoned() -> void;
    auto refuse(int status, std::string_view why, std::optional<std::chrono::milliseconds> retryAfter) -> void;
    auto fail(int status, std::string_view why) -> void;
    auto finish(http::Answer answer, std::string_view why) -> void;
    [[nodiscard]] auto left(MonotonicTime now) const -> std::chrono::milliseconds;
    [[nodiscard]] auto latencyLeft(MonotonicTime now) const -> std::chrono::milliseconds;
    [[nodiscard]] auto isRepeatable() const -> bool;
    [[nodiscard]] auto claim() const -> dispatch::AttemptBudget::Claim;
    [[nodiscard]] auto isCallOfTarget() const -> bool;
    [[nodiscard]] auto distanceFactor() const -> double;
    auto noteAnswerSize(const http::Answer& answer) -> void;
    [[nodiscard]] auto noRoomRetryAfter() -> std::chrono::milliseconds;

    EntryContext& m_context;
    std::shared_ptr<http::Exchange> m_exchange;
    std::shared_ptr<const PolicySnapshot> m_snapshot;
    const config::Route* m_route = nullptr;
    std::string m_key;
    const config::ClientAccount* m_clientAccount = nullptr; // of m_snapshot; null for an open route
    std::string m_requestId;
    std::string m_service;
    int m_priority = 0;
    MonotonicTime m_readAt;
    MonotonicTime m_giveUpAt;
    boost::asio::steady_timer m_giveUpTimer;
    boost::asio::steady_timer m_waitTimer;
    Stage m_stage = Stage::Quick;
    std::size_t m_triesInStage = 0;
    std::size_t m_slotRefusals = 0;
    std::vector<std::string> m_excluded;
    dispatch::TargetBoard::TargetPointer m_target;
    net::HttpClient::Call m_call = 0;
    std::shared_ptr<RateLimitCheck> m_rateCheck; // while homes are asked
    std::shared_ptr<RetryBorrower> m_loan; // while one is asked for
    std::size_t m_runs = 0; // attempts that may have reached a target
    bool m_holdsAttempt = false; // taken of the budget and not used up
    bool m_mayHaveRun = false;
    std::optional<http::Answer> m_lastFailure; // a target's own
    bool m_isOutOfAttempts = false;
    bool m_hasBegun = false;
    bool m_isDone = false;
};

} // namespace coriandergate::relay
