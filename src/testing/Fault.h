// The faults that a FaultProxy can put on a path, and their one-line text form.
//
//   none                 everything passes
//   delay 50             each piece waits 50 ms, both ways
//   cut-request 100      the connection is cut after 100 bytes towards the upstream
//   cut-answer 100       the connection is cut after 100 bytes towards the caller
//   half-answer          half of the answer's first piece passes, then the connection is cut
//   drop-requests        nothing passes towards the upstream, datagrams included
//   drop-answers         nothing passes towards the caller
//   refuse               connections are closed at once, datagrams dropped
//   stall                connections stay open and nothing passes either way
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace coriandergate {
struct Error;
}

namespace coriandergate::testing {

struct NoFault { };

struct DelayFault {
    std::chrono::milliseconds delay {};
};

struct CutRequestFault {
    std::uint64_t afterBytes = 0;
};

struct CutAnswerFault {
    std::uint64_t afterBytes = 0;
};

struct HalfAnswerFault { };
struct DropRequestsFault { };
struct DropAnswersFault { };
struct RefuseFault { };
struct StallFault { };

using Fault = std::variant<NoFault, DelayFault, CutRequestFault, CutAnswerFault, HalfAnswerFault, DropRequestsFault,
    DropAnswersFault, RefuseFault, StallFault>;

// parseFault() reads the text form above; nothing with a reason for any other text. Safe from any thread.
[[nodiscard]] auto parseFault(std::string_view text, Error& reason) -> std::optional<Fault>;

} // namespace coriandergate::testing
