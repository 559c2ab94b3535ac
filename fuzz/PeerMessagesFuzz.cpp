// Bodies and headers that other daemons send. The first byte chooses the message.
#include "base/BoundedJson.h"
#include "base/Error.h"
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"
#include "http/CborMessage.h"
#include "relay/PeerMessages.h"

#include <cmath>
#include <cstdint>

using namespace coriandergate;
using namespace coriandergate::relay;
using coriandergate::fuzz::require;
using std::chrono::milliseconds;

namespace {

auto requireBounded(milliseconds time) -> void { require(std::chrono::abs(time) <= http::maximumMessageTime); }

auto requireBounded(const dispatch::RetryBudget::CallsPerRequest& calls) -> void
{
    for (const auto& [service, count] : calls)
        require(std::isfinite(count) && count >= 0);
}

auto decodeBody(std::uint8_t message, const std::string& body, Error& reason) -> void
{
    if (message == 0) {
        if (const auto reserve = decodeReserveRequest(body, reason)) {
            requireBounded(reserve->targetLatencyLeft);
            requireBounded(reserve->maximumWait);
        }
    } else if (message == 1) {
        if (const auto run = decodeRunRequest(body, reason)) {
            requireBounded(run->timeLeft);
            requireBounded(run->targetLatencyLeft);
            if (run->expiresAt)
                requireBounded(*run->expiresAt);
        }
    } else if (message == 2) {
        (void)decodeRateLimitRequest(body, reason);
    } else if (message == 3) {
        if (const auto borrow = decodeBorrowRequest(body, reason))
            requireBounded(borrow->calls);
    } else {
        if (const auto report = decodeCrashReport(body, reason))
            require(encodeCrashReport(*report).size() >= report->target.size());
    }
}

auto decodeHeader(std::uint8_t header, std::string_view text) -> void
{
    if (header == 0) {
        if (const auto retryAfter = decodeRetryAfter(text)) {
            requireBounded(*retryAfter);
            require(retryAfter->count() >= 0);
        }
    } else if (header == 1) {
        (void)decodeCrashes(text);
        (void)parseOutcome(text);
    } else if (header == 2) {
        if (const auto report = decodeLoadReport(text)) {
            requireBounded(report->nextProbeIn.value_or(milliseconds(0)));
            require(report->rejectionRate >= 0 && report->rejectionRate <= 1);
        }
    } else if (header == 3) {
        if (const auto arrivals = decodeArrivals(text))
            require(decodeArrivals(encodeArrivals(*arrivals)).has_value());
    } else {
        requireBounded(decodeCallsPerRequest(text));
    }
}

} // namespace

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    constexpr std::uint8_t messages = 5;
    if (size < 1)
        return 0;
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto choice = static_cast<std::uint8_t>(data[0] % (2 * messages));
    Error reason;
    if (choice < messages)
        decodeBody(choice, text, reason);
    else
        decodeHeader(choice - messages, text);
    return 0;
}
