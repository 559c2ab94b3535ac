#include "control/SyncMessage.h"

#include "config/EntryCodec.h"

#include <nlohmann/json.hpp>

namespace coriandergate::control {

auto encodePulled(const PulledConfiguration& pulled) -> std::string
{
    std::string bytes;
    nlohmann::json::to_cbor(
        { { "deltas", pulled.deltas }, { "head", pulled.head }, { "snapshot", pulled.snapshot } }, bytes);
    return bytes;
}

auto decodePulled(std::string_view bytes, Error& reason) -> std::optional<PulledConfiguration>
{
    try {
        const auto value = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        return PulledConfiguration { value.at("deltas").get<std::vector<std::string>>(),
            value.at("head").get<config::ConfigurationHead>(), value.at("snapshot").get<std::string>() };
    } catch (const nlohmann::json::exception& exception) {
        reason = { "decode pulled configuration", {}, exception.what() };
        return std::nullopt;
    }
}

auto splitPair(std::string_view text) -> std::optional<std::pair<std::string, std::string>>
{
    const auto blank = text.find(' ');
    if (blank == std::string_view::npos || text.find(' ', blank + 1) != std::string_view::npos)
        return std::nullopt;
    return std::pair(std::string(text.substr(0, blank)), std::string(text.substr(blank + 1)));
}

} // namespace coriandergate::control
