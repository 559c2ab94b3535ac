// The outcome of an attempt, as far as the daemon that states it knows.
//
//   Running    it may be running at the target, or may still be sent there
//   NotRun     it never reached the target and never will
//   Ran        the target responded; the response is included if it was small enough to store
//   Unknown    it may have reached the target, and no daemon can tell any more
#pragma once

#include <optional>
#include <string>
#include <variant>

namespace coriandergate::once {

// StoredResponse is the part of the target's response that is replayed when the client sends the same request again.
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
    int status = 0; // HTTP status of the target's response
    std::optional<StoredResponse> response;

    friend auto operator==(const Ran&, const Ran&) -> bool = default;
};

struct Unknown {
    friend auto operator==(const Unknown&, const Unknown&) -> bool = default;
};

using AttemptOutcome = std::variant<Running, NotRun, Ran, Unknown>;

} // namespace coriandergate::once
