#include "testing/TargetMode.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

namespace coriandergate::testing {

namespace {

    using Json = nlohmann::json;

    auto toJson(const TargetMode& mode) -> Json
    {
        return { { "slowFactor", mode.slowFactor }, { "failRate", mode.failRate }, { "halfAnswer", mode.halfAnswer },
            { "crashPath", mode.crashPath }, { "hang", mode.hang }, { "drain", mode.drain } };
    }

    auto isSameKind(const Json& left, const Json& right) -> bool
    {
        return left.type() == right.type() || (left.is_number() && right.is_number());
    }

}

auto parseTargetMode(std::string_view text, const TargetMode& current, Error& reason) -> std::optional<TargetMode>
{
    const auto changes = Json::parse(text, nullptr, false);
    auto merged = toJson(current);
    if (!changes.is_object()) {
        reason = { "parse mode", "", "not a JSON object" };
        return std::nullopt;
    }
    for (const auto& [name, value] : changes.items()) {
        if (!merged.contains(name) || !isSameKind(merged[name], value)) {
            reason = { "parse mode", "", "'" + name + "' is unknown or of the wrong type" };
            return std::nullopt;
        }
        merged[name] = value;
    }
    return TargetMode { merged["slowFactor"], merged["failRate"], merged["halfAnswer"], merged["crashPath"],
        merged["hang"], merged["drain"] };
}

auto toText(const TargetMode& mode) -> std::string { return toJson(mode).dump(); }

} // namespace coriandergate::testing
