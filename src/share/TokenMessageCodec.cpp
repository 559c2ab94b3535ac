#include "share/TokenMessageCodec.h"

#include "base/DaemonIdentityJson.h"
#include "share/TokenRequest.h"
#include "share/TokenResponse.h"

namespace coriandergate::share {

namespace {

    using nlohmann::json;

    template <typename Message, typename DecodeItem>
    auto decodeMessage(std::string_view text, const char* step, Error& reason, DecodeItem decodeItem)
        -> std::optional<Message>
    {
        try {
            const auto message = json::parse(text);
            Message result { message.at(0).get<DaemonIdentity>(), message.at(1).get<DaemonIdentity>(), {} };
            for (const auto& item : message.at(2))
                result.items.push_back(decodeItem(item));
            return result;
        } catch (const json::exception& exception) {
            reason = { step, "", exception.what() };
            return std::nullopt;
        }
    }

    auto decodeRequestItem(const json& item) -> TokenRequestItem
    {
        return { item.at(0).get<std::uint64_t>(), item.at(1).get<std::uint32_t>(), item.at(2).get<std::string>(),
            item.at(3).get<std::uint32_t>(), item.at(4).get<std::uint32_t>(), item.at(5).get<std::uint32_t>(),
            std::chrono::milliseconds { item.at(6).get<std::int64_t>() } };
    }

    auto decodeResponseItem(const json& item) -> TokenResponseItem
    {
        TokenResponseItem result { item.at(0).get<std::uint64_t>(), item.at(1).get<bool>(), {},
            std::chrono::milliseconds { item.at(3).get<std::int64_t>() },
            std::chrono::microseconds { item.at(4).get<std::int64_t>() } };
        for (const auto& delay : item.at(2))
            result.delays.emplace_back(delay.get<std::int64_t>());
        return result;
    }

} // namespace

auto encodeTokenRequest(const TokenRequest& request) -> std::string
{
    auto items = json::array();
    for (const auto& item : request.items) {
        items.push_back(json::array({ item.id, item.seat, item.account, item.bucketIndex, item.neededTokens,
            item.prefetchTokens, item.maximumDelay.count() }));
    }
    return json::array({ request.from, request.to, items }).dump();
}

auto encodeTokenResponse(const TokenResponse& response) -> std::string
{
    auto items = json::array();
    for (const auto& item : response.items) {
        auto delays = json::array();
        for (const auto delay : item.delays)
            delays.push_back(delay.count());
        items.push_back(
            json::array({ item.id, item.isSeatHolder, delays, item.tokenLifetime.count(), item.retryAfter.count() }));
    }
    return json::array({ response.from, response.to, items }).dump();
}

auto decodeTokenRequest(std::string_view text, Error& reason) -> std::optional<TokenRequest>
{
    return decodeMessage<TokenRequest>(text, "decode token request", reason, decodeRequestItem);
}

auto decodeTokenResponse(std::string_view text, Error& reason) -> std::optional<TokenResponse>
{
    return decodeMessage<TokenResponse>(text, "decode token response", reason, decodeResponseItem);
}

} // namespace coriandergate::share
