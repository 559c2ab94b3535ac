// Writes what the entry and the owner tell each other into one header each, as JSON.
//
//   request.headers.add(headers::forward, encodeForward(ownerRequest, now));
//   auto ownerRequest = decodeForward(std::move(request), now, reason);
#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "proxy/AttemptReport.h"
#include "proxy/OwnerRequest.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::proxy {

// encodeForward() is everything of `request` but the HTTP request itself; times are sent as time left in microseconds.
[[nodiscard]] auto encodeForward(const OwnerRequest& request, MonotonicTime now) -> std::string;

// decodeForward() reads the header out of `request` and removes the internal headers. Nothing, with a reason, when it
// is missing or malformed.
[[nodiscard]] auto decodeForward(http::Request request, MonotonicTime now, Error& reason)
    -> std::optional<OwnerRequest>;

// encodeReport() and decodeReport() do the same for what the owner adds to its answer.
[[nodiscard]] auto encodeReport(const OwnerReport& report) -> std::string;
[[nodiscard]] auto decodeReport(std::string_view text) -> std::optional<OwnerReport>;

// removeInternalHeaders() removes every header that only daemons may set.
auto removeInternalHeaders(http::HeaderList& headerList) -> void;

} // namespace coriandergate::proxy
