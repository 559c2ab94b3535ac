// Names one accepted configuration: its version and the digest of its content.
//
// The head row of the table service holds one; daemons pass it on to each other in place of the configuration.
//
//   if (announced.version > keeper.head().version) pull(announced);
#pragma once

#include "base/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::config {

// ConfigurationHead is a value. Two heads of one version and different digests never come from the store.
struct ConfigurationHead {
    std::uint64_t version = 0; // 0: none yet
    std::string digest; // 64 lower-case hexadecimal digits; empty for version 0

    // toText() is "version-digest", which names objects of the store and travels between daemons.
    [[nodiscard]] auto toText() const -> std::string;

    friend auto operator==(const ConfigurationHead&, const ConfigurationHead&) -> bool = default;
};

// parseConfigurationHead() reads what toText() wrote. Safe from any thread.
[[nodiscard]] auto parseConfigurationHead(std::string_view text, Error& reason) -> std::optional<ConfigurationHead>;

} // namespace coriandergate::config
