#include "testing/RelayMessages.h"

#include "http/Answer.h"
#include "http/Status.h"

#include <string_view>
#include <utility>

namespace coriandergate::testing {

auto relayRequestBody(const fleet::RelayWatchRequest& watch) -> std::string
{
    constexpr std::string_view endOfHeaders = "\r\n\r\n";
    const auto request = fleet::encodeRelayWatchRequest(watch);
    return request.substr(request.find(endOfHeaders) + endOfHeaders.size());
}

auto decodeRelayAnswer(const http::Answer& answer, const std::string& address) -> fleet::RelayTransport::Result
{
    Error reason { "watch through relay", address, answer.body };
    if (answer.status != http::statusOk)
        return reason;
    auto response = fleet::decodeRelayWatchResponse(answer.body, reason);
    if (!response)
        return reason;
    return std::move(*response);
}

} // namespace coriandergate::testing
