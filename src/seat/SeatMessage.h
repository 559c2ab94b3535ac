// The messages of the seat lease protocol, and their JSON form.
//
//   for (const auto& message : client.tick(now))
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

// SeatMessage is any message of the protocol.
using SeatMessage = std::variant<LeaseRequest, LeaseResponse, PrepareRequest, PrepareResponse, LeaseRelease>;

// recipientOf() is the daemon that `message` is addressed to. A daemon with the same address but another incarnation
// must ignore the message.
[[nodiscard]] auto recipientOf(const SeatMessage& message) -> const DaemonIdentity&;

// encodeSeatMessage() encodes `message` as JSON. Safe from any thread.
[[nodiscard]] auto encodeSeatMessage(const SeatMessage& message) -> std::string;

// decodeSeatMessage() decodes the output of encodeSeatMessage(). On malformed input it returns nothing and sets
// `reason`. Safe from any thread.
[[nodiscard]] auto decodeSeatMessage(std::string_view text, Error& reason) -> std::optional<SeatMessage>;

} // namespace coriandergate::seat
