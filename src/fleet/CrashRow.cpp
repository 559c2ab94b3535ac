#include "fleet/CrashRow.h"

#include "base/Error.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace coriandergate::fleet {

namespace {

    // The hosts' keys continue with a hexadecimal digit after the region.
    constexpr std::string_view marker = "/~crash-";
    constexpr int hexadecimal = 16;
    // Far from an overflow, as later code adds to it.
    constexpr std::uint64_t maximumStoreTime = std::uint64_t { 1 } << 53;

} // namespace

auto crashRowKey(std::string_view region, std::uint64_t fingerprint) -> std::string
{
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return std::string(region) + std::string(marker) + digits.data();
}

auto parseCrashRowKey(std::string_view key) -> std::optional<std::uint64_t>
{
    const auto at = key.rfind(marker);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = key.substr(at + marker.size());
    const auto* end = digits.data() + digits.size();
    std::uint64_t fingerprint = 0;
    const auto parsed = std::from_chars(digits.data(), end, fingerprint, hexadecimal);
    return parsed.ec == std::errc {} && parsed.ptr == end ? std::optional(fingerprint) : std::nullopt;
}

auto encodeCrashRow(std::chrono::milliseconds lastCrashAt) -> std::string
{
    return std::to_string(lastCrashAt.count());
}

auto decodeCrashRow(std::string_view key, std::string_view bytes, Error& reason)
    -> std::optional<std::chrono::milliseconds>
{
    const auto* end = bytes.data() + bytes.size();
    std::uint64_t time = 0;
    const auto parsed = std::from_chars(bytes.data(), end, time);
    if (parsed.ec == std::errc {} && parsed.ptr == end && time <= maximumStoreTime)
        return std::chrono::milliseconds(time);
    reason = { "decode crash row", std::string(key), "must be a time in milliseconds" };
    return std::nullopt;
}

} // namespace coriandergate::fleet
