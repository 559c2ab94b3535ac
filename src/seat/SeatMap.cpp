#include "seat/SeatMap.h"

#include "base/DaemonIdentityJson.h"
#include "base/Hash.h"

#include <algorithm>

namespace coriandergate::seat {

namespace {

    // The keys are fixed by the stored format: "guards" are the grantors, "lost" those whose process has ended.
    auto toJson(const FormerEpoch& former) -> nlohmann::json
    {
        return { { "epoch", former.epoch }, { "guards", former.grantors }, { "lost", former.terminatedGrantors } };
    }

    auto toJson(const SeatAssignment& assignment) -> nlohmann::json
    {
        auto formerEpochs = nlohmann::json::array();
        for (const auto& former : assignment.formerEpochs)
            formerEpochs.push_back(toJson(former));
        return { { "epoch", assignment.epoch }, { "holder", assignment.holder }, { "guards", assignment.grantors },
            { "former", formerEpochs } };
    }

    auto formerEpochFromJson(const nlohmann::json& json) -> FormerEpoch
    {
        return { json.at("epoch").get<std::uint64_t>(), json.at("guards").get<std::vector<DaemonIdentity>>(),
            json.at("lost").get<std::vector<DaemonIdentity>>() };
    }

    auto assignmentFromJson(const nlohmann::json& json) -> SeatAssignment
    {
        SeatAssignment assignment { json.at("epoch").get<std::uint64_t>(), json.at("holder").get<DaemonIdentity>(),
            json.at("guards").get<std::vector<DaemonIdentity>>(), {} };
        for (const auto& former : json.at("former"))
            assignment.formerEpochs.push_back(formerEpochFromJson(former));
        return assignment;
    }

} // namespace

auto SeatMap::seatOf(std::string_view key, std::uint32_t splitIndex) const -> std::uint32_t
{
    const auto stride = std::max<std::size_t>(1, seats.size() / maximumSeatsPerKey);
    return static_cast<std::uint32_t>((hashOf(key) % seats.size() + splitIndex * stride) % seats.size());
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
            map.seats.push_back(assignmentFromJson(seat));
        return map;
    } catch (const nlohmann::json::exception& exception) {
        reason = { "decode seat map", "", exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::seat
