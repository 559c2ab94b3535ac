// What is known of a request that got no answer from its target.
#pragma once

#include <string_view>

namespace coriandergate::proxy {

// Outcome is told to the caller with every refusal; NotRun must always be true.
enum class Outcome {
    NotRun, // no target has seen the request
    MayHaveRun, // a target may have seen it, and it is not known whether it ran
    Ran, // a target answered
};

// outcomeText() is the outcome's value in the Coriandergate-Outcome header.
[[nodiscard]] constexpr auto outcomeText(Outcome outcome) -> std::string_view
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::MayHaveRun:
        return "may-have-run";
    case Outcome::Ran:
        return "ran";
    }
    return "may-have-run";
}

// parseOutcome() reads a header's value; anything unknown is MayHaveRun, the value that promises least.
[[nodiscard]] constexpr auto parseOutcome(std::string_view text) -> Outcome
{
    if (text == outcomeText(Outcome::NotRun))
        return Outcome::NotRun;
    return text == outcomeText(Outcome::Ran) ? Outcome::Ran : Outcome::MayHaveRun;
}

} // namespace coriandergate::proxy
