#include "config/ConfigurationHead.h"

#include <charconv>

namespace coriandergate::config {

auto ConfigurationHead::toText() const -> std::string { return std::to_string(version) + "-" + digest; }

auto parseConfigurationHead(std::string_view text, Error& reason) -> std::optional<ConfigurationHead>
{
    ConfigurationHead head;
    const auto* end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, head.version);
    if (failure != std::errc() || rest == end || *rest != '-') {
        reason = { "read configuration head", {}, "'" + std::string(text.substr(0, 80)) + "' is not version-digest" };
        return std::nullopt;
    }
    head.digest.assign(rest + 1, end);
    return head;
}

} // namespace coriandergate::config
