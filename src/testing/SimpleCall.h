// One HTTP call that blocks until its answer, for tests without an event loop of their own.
//
//   const auto answer = simpleCall("127.0.0.1:7100", { .method = "GET", .target = "/status" }, std::chrono::seconds(5),
//   reason);
#pragma once

#include "http/Answer.h"
#include "http/Request.h"

#include <chrono>
#include <optional>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::testing {

// simpleCall() sends `request` to `peer` (IP:port) on a connection of its own and returns the whole answer; nothing
// with a reason when there is none within `timeout`. A Host header is added when there is none. From the main thread
// only.
[[nodiscard]] auto simpleCall(const std::string& peer, http::Request request, std::chrono::milliseconds timeout,
    Error& reason) -> std::optional<http::Answer>;

} // namespace coriandergate::testing
