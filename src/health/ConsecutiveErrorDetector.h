// A simple detector that ejects a target after a number of consecutive errors, where a timeout counts as an error. Not
// used in production; simulations compare GrayFailureDetector with it.
//
//   ConsecutiveErrorDetector detector({});
//   if (detector.observe(Outcome::ServerError, elapsed)) eject();
#pragma once

#include "health/Outcome.h"

#include <chrono>

namespace coriandergate::health {

// ConsecutiveErrorDetector evaluates one target. Not thread-safe.
class ConsecutiveErrorDetector {
public:
    struct Options {
        int consecutiveErrorsUntilEjection = 5;
        std::chrono::milliseconds timeout { 1000 }; // a slower response counts as an error
    };

    explicit ConsecutiveErrorDetector(const Options& options)
        : m_options(options)
    {
    }

    // observe() records the outcome of one request and tells whether the target should be ejected.
    [[nodiscard]] auto observe(Outcome outcome, std::chrono::microseconds elapsed) -> bool
    {
        const auto isError = isFailure(outcome) || elapsed > m_options.timeout;
        m_consecutiveErrors = isError ? m_consecutiveErrors + 1 : 0;
        return m_consecutiveErrors >= m_options.consecutiveErrorsUntilEjection;
    }

private:
    const Options m_options;
    int m_consecutiveErrors = 0;
};

} // namespace coriandergate::health
