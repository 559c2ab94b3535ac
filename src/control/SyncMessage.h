// What daemons say to each other about configurations, over HTTP on the peer listener.
//
//   GET  /configuration/head       the head in force, as text
//   POST /configuration/announce   "address head": the sender has taken `head`
//   POST /configuration/pull       "from to": answered by a PulledConfiguration
#pragma once

#include "base/Error.h"
#include "config/ConfigurationHead.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coriandergate::control {

inline constexpr std::string_view headPath = "/configuration/head";
inline constexpr std::string_view announcePath = "/configuration/announce";
inline constexpr std::string_view pullPath = "/configuration/pull";

// PulledConfiguration carries deltas in order, or else a whole snapshot and its head.
struct PulledConfiguration {
    std::vector<std::string> deltas;
    config::ConfigurationHead head;
    std::string snapshot;
};

// encodePulled() and decodePulled() are each other's inverses (CBOR). Safe from any thread.
[[nodiscard]] auto encodePulled(const PulledConfiguration& pulled) -> std::string;
[[nodiscard]] auto decodePulled(std::string_view bytes, Error& reason) -> std::optional<PulledConfiguration>;

// splitPair() splits a text at its only blank; nullopt when there is not exactly one. Safe from any thread.
[[nodiscard]] auto splitPair(std::string_view text) -> std::optional<std::pair<std::string, std::string>>;

} // namespace coriandergate::control
