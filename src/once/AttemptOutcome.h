// What became of an attempt, as far as the one who speaks of it knows.
//
//   Running    it may be at the target now, or may go there
//   NotRun     definitely never reached the target, and never will
//   Ran        the target answered; the answer is here when it was small enough to keep
//   Unknown    it may have reached the target, and nobody can tell any more
#pragma once

#include <optional>
#include <string>
#include <variant>

namespace coriandergate::once {

// StoredResponse is what a resend of the same request is answered with.
struct StoredResponse {
    std::string contentType;
    std::string body;

    friend auto operator==(const StoredResponse&, const StoredResponse&) -> bool = default;
};

struct Running {
    friend auto operator==(const Running&, const Running&) -> bool = default;
};

struct NotRun {
    friend auto operator==(const NotRun&, const NotRun&) -> bool = default;
};

struct Ran {
    int status = 0; // HTTP status of the target's answer
    std::optional<StoredResponse> response;

    friend auto operator==(const Ran&, const Ran&) -> bool = default;
};

struct Unknown {
    friend auto operator==(const Unknown&, const Unknown&) -> bool = default;
};

using AttemptOutcome = std::variant<Running, NotRun, Ran, Unknown>;

} // namespace coriandergate::once
