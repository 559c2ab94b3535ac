#include "admission/Deadline.h"

#include <algorithm>
#include <charconv>

namespace coriandergate::admission {

namespace {

    constexpr std::chrono::milliseconds maximumRemaining = std::chrono::hours(24);

} // namespace

auto Deadline::remaining(MonotonicTime now) const -> MonotonicDuration
{
    return std::max(m_at - now, MonotonicDuration::zero());
}

auto Deadline::remainingForNextHop(MonotonicTime now, MonotonicDuration margin) const
    -> std::optional<std::chrono::milliseconds>
{
    const auto remainingForHop = std::chrono::floor<std::chrono::milliseconds>(m_at - now - margin);
    if (remainingForHop <= std::chrono::milliseconds::zero())
        return std::nullopt;
    return remainingForHop;
}

auto parseRemainingTime(std::string_view text, Error& error) -> std::optional<std::chrono::milliseconds>
{
    std::chrono::milliseconds::rep count = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsedEnd, errorCode] = std::from_chars(text.data(), end, count);
    if (errorCode != std::errc {} || parsedEnd != end || count < 1 || count > maximumRemaining.count()) {
        error = { "read remaining time", "", "expected whole milliseconds from 1 to 86400000" };
        return std::nullopt;
    }
    return std::chrono::milliseconds(count);
}

} // namespace coriandergate::admission
