#include "testing/Fault.h"

#include "base/Error.h"

#include <charconv>
#include <string>

namespace coriandergate::testing {

namespace {

    auto parseNumber(std::string_view text) -> std::optional<std::uint64_t>
    {
        std::uint64_t number = 0;
        const auto* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, number);
        if (text.empty() || result.ec != std::errc() || result.ptr != end)
            return std::nullopt;
        return number;
    }

    auto faultOf(std::string_view word, std::optional<std::uint64_t> number) -> std::optional<Fault>
    {
        if (number && word == "delay")
            return DelayFault { std::chrono::milliseconds(*number) };
        if (number && word == "cut-request")
            return CutRequestFault { *number };
        if (number && word == "cut-answer")
            return CutAnswerFault { *number };
        if (number)
            return std::nullopt;
        if (word == "none")
            return NoFault {};
        if (word == "half-answer")
            return HalfAnswerFault {};
        if (word == "drop-requests")
            return DropRequestsFault {};
        if (word == "drop-answers")
            return DropAnswersFault {};
        if (word == "refuse")
            return RefuseFault {};
        if (word == "stall")
            return StallFault {};
        return std::nullopt;
    }

}

auto parseFault(std::string_view text, Error& reason) -> std::optional<Fault>
{
    const auto blank = text.find(' ');
    const auto hasArgument = blank != std::string_view::npos;
    const auto number = hasArgument ? parseNumber(text.substr(blank + 1)) : std::nullopt;
    const auto fault = hasArgument && !number ? std::nullopt : faultOf(text.substr(0, blank), number);
    if (!fault)
        reason = { "parse fault", "", "'" + std::string(text) + "' is no fault" };
    return fault;
}

} // namespace coriandergate::testing
