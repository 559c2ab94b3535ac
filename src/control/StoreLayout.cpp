#include "control/StoreLayout.h"

#include "config/ConfigurationHead.h"

namespace coriandergate::control::layout {

namespace {

    constexpr std::size_t versionDigits = 20;

    auto paddedVersion(std::uint64_t version) -> std::string
    {
        const auto digits = std::to_string(version);
        return std::string(versionDigits - digits.size(), '0') + digits;
    }

} // namespace

auto planKey(std::string_view planId) -> std::string { return "configuration/plans/" + std::string(planId); }

auto auditKey(std::uint64_t version) -> std::string { return std::string(auditPrefix) + paddedVersion(version); }

auto refusalKey(std::uint64_t version, std::string_view planId) -> std::string
{
    return auditKey(version) + "/refused-" + std::string(planId);
}

auto deltaKey(const config::ConfigurationHead& head) -> std::string { return "configuration/deltas/" + head.toText(); }

auto snapshotName(const config::ConfigurationHead& head) -> std::string
{
    return "configuration/snapshots/" + head.toText();
}

} // namespace coriandergate::control::layout
