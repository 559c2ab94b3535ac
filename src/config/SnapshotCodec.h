// The binary form of a configuration, as it stands in the object store and travels between daemons.
//
// A CBOR value an entry, each after its length, so that reading and writing never hold more than one entry beside the
// configuration itself. The digest covers every byte; whoever takes a snapshot from elsewhere checks it against the
// head.
//
//   const auto bytes = encodeSnapshot(configuration);
//   const auto head = headOf(configuration);
//   auto copy = decodeSnapshot(bytes, head, reason);
#pragma once

#include "base/Error.h"
#include "config/ConfigurationHead.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::config {

struct Configuration;

// encodeSnapshot() is the one binary form of `configuration`. Safe from any thread.
[[nodiscard]] auto encodeSnapshot(const Configuration& configuration) -> std::string;

// headOf() is the head under which `configuration` is known, without building its binary form. Safe from any thread.
[[nodiscard]] auto headOf(const Configuration& configuration) -> ConfigurationHead;

// decodeSnapshot() reads a snapshot and refuses one that is not exactly the one that `head` names. Safe from any
// thread.
[[nodiscard]] auto decodeSnapshot(std::string_view bytes, const ConfigurationHead& head, Error& reason)
    -> std::optional<Configuration>;

} // namespace coriandergate::config
