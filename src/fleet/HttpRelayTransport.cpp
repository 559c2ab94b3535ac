#include "fleet/HttpRelayTransport.h"

#include "http/Status.h"
#include "net/HttpClient.h"

namespace coriandergate::fleet {

namespace {

    constexpr const char* step = "watch through relay";

    auto decodeResult(const net::HttpClient::Result& result, const std::string& address) -> RelayTransport::Result
    {
        const auto* response = std::get_if<http::Answer>(&result);
        if (!response)
            return Error { step, address, std::get<http::ExchangeFailure>(result).error.toText() };
        if (response->status != http::statusOk)
            return Error { step, address, "status " + std::to_string(response->status) + ": " + response->body };
        Error reason;
        auto rows = decodeRelayWatchResponse(response->body, reason);
        if (!rows)
            return Error { step, address, reason.toText() };
        return std::move(*rows);
    }

} // namespace

HttpRelayTransport::HttpRelayTransport(net::HttpClient& client)
    : m_client(client)
{
}

auto HttpRelayTransport::watch(const std::string& address, const RelayWatchRequest& request,
    std::chrono::milliseconds timeout, Callback done) -> void
{
    const auto stallTimeout = request.isSnapshot ? std::optional(timeout) : std::nullopt;
    m_client.send(address, encodeRelayWatchRequest(request), { .timeout = timeout, .stallTimeout = stallTimeout },
        [address, done = std::move(done)](
            const net::HttpClient::Result& result) { done(decodeResult(result, address)); });
}

} // namespace coriandergate::fleet
