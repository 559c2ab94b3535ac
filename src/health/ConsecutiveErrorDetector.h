// The naive detector, kept as the baseline of every measurement: so many errors in a row eject a target, a timeout
// counting as an error.
//
//   ConsecutiveErrorDetector detector({});
//   if (detector.observe(Outcome::ServerError, elapsed)) eject();
#pragma once

#include "health/Outcome.h"

#include <chrono>

namespace coriandergate::health {

// ConsecutiveErrorDetector judges one target. Not thread-safe.
class ConsecutiveErrorDetector {
public:
    struct Options {
        int errorsUntilEjection = 5;
        std::chrono::milliseconds timeout { 1000 }; // an answer that takes longer counts as an error
    };

    explicit ConsecutiveErrorDetector(const Options& options)
        : m_options(options)
    {
    }

    // observe() takes the ending of one request and tells whether the target is to be ejected.
    [[nodiscard]] auto observe(Outcome outcome, std::chrono::microseconds elapsed) -> bool
    {
        const auto isError = isFailure(outcome) || elapsed > m_options.timeout;
        m_errors = isError ? m_errors + 1 : 0;
        return m_errors >= m_options.errorsUntilEjection;
    }

private:
    const Options m_options;
    int m_errors = 0;
};

} // namespace coriandergate::health
