// The messages that pass between holders, successors and guards, and their JSON form.
//
//   for (const auto& message : authority.tick(now))
//       send(recipientOf(message), encodeSeatMessage(message));
#pragma once

#include "base/Error.h"
#include "seat/LeaseRelease.h"
#include "seat/LeaseRequest.h"
#include "seat/LeaseResponse.h"
#include "seat/PrepareRequest.h"
#include "seat/PrepareResponse.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace coriandergate::seat {

// SeatMessage is any of the messages about seats.
using SeatMessage = std::variant<LeaseRequest, LeaseResponse, PrepareRequest, PrepareResponse, LeaseRelease>;

// recipientOf() is the daemon that `message` is meant for; another run at the same address must ignore it.
[[nodiscard]] auto recipientOf(const SeatMessage& message) -> const DaemonIdentity&;

// encodeSeatMessage() writes `message` as JSON. Safe from any thread.
[[nodiscard]] auto encodeSeatMessage(const SeatMessage& message) -> std::string;

// decodeSeatMessage() reads what encodeSeatMessage() wrote; on malformed text it returns nothing and says why in
// `reason`. Safe from any thread.
[[nodiscard]] auto decodeSeatMessage(std::string_view text, Error& reason) -> std::optional<SeatMessage>;

} // namespace coriandergate::seat
