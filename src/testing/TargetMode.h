// How a stand-in target behaves, changed while it runs by POST /_mode with the fields to change:
//
//   {"slowFactor": 5, "failRate": 0.3, "halfAnswer": true, "crashPath": "/poison", "hang": true, "drain": true}
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate {
struct Error;
}

namespace coriandergate::testing {

// TargetMode is a value; the default is a healthy target.
struct TargetMode {
    double slowFactor = 1; // multiplies the service time
    double failRate = 0; // fraction of the requests answered with 500
    bool halfAnswer = false; // sends half of each answer, then cuts the connection
    std::string crashPath; // a request for this path ends the process at once; empty: none does
    bool hang = false; // takes requests and never answers
    bool drain = false; // has left: announces no more, but still serves
};

// parseTargetMode() is `current` with the fields of the JSON object `text` put in; nothing with a reason for unknown
// fields and wrong types. Safe from any thread.
[[nodiscard]] auto parseTargetMode(std::string_view text, const TargetMode& current, Error& reason)
    -> std::optional<TargetMode>;

// toText() is `mode` as a JSON object.
[[nodiscard]] auto toText(const TargetMode& mode) -> std::string;

} // namespace coriandergate::testing
