#include "seat/SeatMap.h"

#include "base/DaemonIdentityJson.h"
#include "base/Hash.h"

#include <algorithm>

namespace coriandergate::seat {

namespace {

    auto toJson(const FormerEpoch& former) -> nlohmann::json
    {
        return { { "epoch", former.epoch }, { "guards", former.grantors }, { "lost", former.terminatedGrantors } };
    }

    auto toJson(const SeatAssignment& seat) -> nlohmann::json
    {
        auto formers = nlohmann::json::array();
        for (const auto& former : seat.formerEpochs)
            formers.push_back(toJson(former));
        return { { "epoch", seat.epoch }, { "holder", seat.holder }, { "guards", seat.grantors },
            { "former", formers } };
    }

    auto formerFromJson(const nlohmann::json& json) -> FormerEpoch
    {
        return { json.at("epoch").get<std::uint64_t>(), json.at("guards").get<std::vector<DaemonIdentity>>(),
            json.at("lost").get<std::vector<DaemonIdentity>>() };
    }

    auto seatFromJson(const nlohmann::json& json) -> SeatAssignment
    {
        SeatAssignment seat { json.at("epoch").get<std::uint64_t>(), json.at("holder").get<DaemonIdentity>(),
            json.at("guards").get<std::vector<DaemonIdentity>>(), {} };
        for (const auto& former : json.at("former"))
            seat.formerEpochs.push_back(formerFromJson(former));
        return seat;
    }

} // namespace

auto SeatMap::seatOf(std::string_view key, std::uint32_t split) const -> std::uint32_t
{
    const auto stride = std::max<std::size_t>(1, seats.size() / maxSplitsPerKey);
    return static_cast<std::uint32_t>((hashOf(key) % seats.size() + split * stride) % seats.size());
}

auto encodeSeatMap(const SeatMap& map) -> std::string
{
    auto seats = nlohmann::json::array();
    for (const auto& seat : map.seats)
        seats.push_back(toJson(seat));
    return nlohmann::json { { "epoch", map.epoch }, { "seats", seats } }.dump();
}

auto decodeSeatMap(std::string_view text, Error& reason) -> std::optional<SeatMap>
{
    try {
        const auto json = nlohmann::json::parse(text);
        SeatMap map { json.at("epoch").get<std::uint64_t>(), {} };
        for (const auto& seat : json.at("seats"))
            map.seats.push_back(seatFromJson(seat));
        return map;
    } catch (const nlohmann::json::exception& exception) {
        reason = { "decode seat map", "", exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::seat
