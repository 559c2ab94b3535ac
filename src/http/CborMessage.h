// Messages between daemons: CBOR in the bodies of HTTP requests and answers.
//
//   const auto request = http::makeCborRequest("/rate", json::array({ "account-7" }));
//   Error reason;
//   if (!http::readCbor(body, "decode rate", reason, [&](const json& value) { account = value.at(0); })) ...
#pragma once

#include <chrono>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace coriandergate {
struct Error;
}

namespace coriandergate::http {

// cborBytes() is `value` as it stands in a body. Safe from any thread.
[[nodiscard]] auto cborBytes(const nlohmann::json& value) -> std::string;

// makeCborRequest() is a whole request to a daemon's `path` with `value` as its body. Safe from any thread.
[[nodiscard]] auto makeCborRequest(std::string_view path, const nlohmann::json& value) -> std::string;

// Times in messages are at most so far from 0 that sums with any time of the clocks, in nanoseconds, can't overflow.
// The store's clock starts at 0 with the store.
inline constexpr std::chrono::milliseconds maximumMessageTime = std::chrono::hours(24 * 365 * 20);

// readInteger() returns a whole number within the range of `Integer`. It throws std::out_of_range for any other value,
// also for one with a fraction. Safe from any thread.
template <typename Integer> [[nodiscard]] auto readInteger(const nlohmann::json& value) -> Integer
{
    if (value.is_number_unsigned() && std::in_range<Integer>(value.get<std::uint64_t>()))
        return static_cast<Integer>(value.get<std::uint64_t>());
    if (value.is_number_integer() && !value.is_number_unsigned() && std::in_range<Integer>(value.get<std::int64_t>()))
        return static_cast<Integer>(value.get<std::int64_t>());
    throw std::out_of_range("must be a whole number in range");
}

// readTime() returns a time in milliseconds, which may be negative. It throws std::out_of_range for one that is further
// from 0 than `maximumMessageTime`. Safe from any thread.
[[nodiscard]] auto readTime(const nlohmann::json& value) -> std::chrono::milliseconds;

// readCbor() gives the value in `body` to `read`; false, with a reason that names `step`, when the body isn't CBOR or
// `read` throws because a value has another type or range than it asks for. Safe from any thread.
[[nodiscard]] auto readCbor(const std::string& body, const char* step, Error& reason,
    const std::function<void(const nlohmann::json&)>& read) -> bool;

} // namespace coriandergate::http
