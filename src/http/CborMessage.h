// Messages between daemons: CBOR in the bodies of HTTP requests and answers.
//
//   const auto request = http::makeCborRequest("/rate", json::array({ "account-7" }));
//   Error reason;
//   if (!http::readCbor(body, "decode rate", reason, [&](const json& value) { account = value.at(0); })) ...
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace coriandergate {
struct Error;
}

namespace coriandergate::http {

// cborBytes() is `value` as it stands in a body. Safe from any thread.
[[nodiscard]] auto cborBytes(const nlohmann::json& value) -> std::string;

// makeCborRequest() is a whole request to a daemon's `path` with `value` as its body. Safe from any thread.
[[nodiscard]] auto makeCborRequest(std::string_view path, const nlohmann::json& value) -> std::string;

// readCbor() gives the value in `body` to `read`; false, with a reason that names `step`, when the body isn't CBOR or
// `read` finds a value of another type than it asks for. Safe from any thread.
[[nodiscard]] auto readCbor(const std::string& body, const char* step, Error& reason,
    const std::function<void(const nlohmann::json&)>& read) -> bool;

} // namespace coriandergate::http
