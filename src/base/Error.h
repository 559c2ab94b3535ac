// The error that every fallible function of the project reports.
//
// A function that can fail returns std::optional and writes the reason through its last parameter:
//
//   Error reason;
//   auto snapshot = parseDeclaration(text, reason);
//   if (!snapshot)
//       report(reason.toText()); // "parse declaration (routes.yaml:12): unknown key 'deadlin'"
#pragma once

#include <string>

namespace coriandergate {

// Error says at which step, and at which peer (host:port, file, or empty), something went wrong, and why.
struct Error {
    std::string step;
    std::string peer;
    std::string reason;

    // toText() is one line for logs and operators: "step (peer): reason".
    [[nodiscard]] auto toText() const -> std::string;

    friend auto operator==(const Error&, const Error&) -> bool = default;
};

} // namespace coriandergate
