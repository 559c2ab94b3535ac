#include "fleet/HostRecord.h"

#include "base/Error.h"
#include "base/Hash.h"

#include <nlohmann/json.hpp>

namespace coriandergate::fleet {

namespace {

    constexpr char regionSeparator = '/';

    auto stateName(HostRecord::State state) -> const char*
    {
        switch (state) {
        case HostRecord::State::NoTarget:
            return "empty";
        case HostRecord::State::Serving:
            return "serving";
        case HostRecord::State::Draining:
            return "leaving";
        }
        return "empty";
    }

    auto parseState(const std::string& name) -> std::optional<HostRecord::State>
    {
        for (const auto state :
            { HostRecord::State::NoTarget, HostRecord::State::Serving, HostRecord::State::Draining }) {
            if (name == stateName(state))
                return state;
        }
        return std::nullopt;
    }

} // namespace

auto hostRowKey(std::string_view region, std::string_view hostAddress) -> std::string
{
    constexpr std::size_t hashDigits = 4;
    constexpr std::string_view digits = "0123456789abcdef";
    auto hash = hashOf(hostAddress);
    std::string key(region);
    key += regionSeparator;
    for (std::size_t i = 0; i < hashDigits; ++i, hash /= digits.size())
        key += digits[hash % digits.size()];
    key += '-';
    key += hostAddress;
    return key;
}

auto hostRowRange(std::string_view region) -> HostRowRange
{
    HostRowRange range { std::string(region) + regionSeparator, std::string(region) };
    range.endKey += static_cast<char>(regionSeparator + 1);
    return range;
}

auto encodeHostRecord(const HostRecord& record) -> std::string
{
    const nlohmann::json value = { { "peer", record.peerAddress }, { "region", record.locality.region },
        { "dataCentre", record.locality.dataCentre }, { "service", record.service }, { "target", record.targetId },
        { "startedAt", record.targetStartedAt }, { "slots", record.slots }, { "state", stateName(record.state) },
        { "joinedAt", record.joinedAt.count() } };
    return value.dump();
}

auto decodeHostRecord(std::string_view key, std::string_view text, Error& reason) -> std::optional<HostRecord>
{
    try {
        const auto value = nlohmann::json::parse(text);
        HostRecord record;
        value.at("peer").get_to(record.peerAddress);
        value.at("region").get_to(record.locality.region);
        value.at("dataCentre").get_to(record.locality.dataCentre);
        value.at("service").get_to(record.service);
        value.at("target").get_to(record.targetId);
        value.at("startedAt").get_to(record.targetStartedAt);
        value.at("slots").get_to(record.slots);
        record.joinedAt = std::chrono::milliseconds(value.value("joinedAt", std::int64_t { 0 }));
        const auto state = parseState(value.at("state").get<std::string>());
        if (state) {
            record.state = *state;
            return record;
        }
        reason = { "decode host record", std::string(key), "unknown state" };
    } catch (const nlohmann::json::exception& exception) {
        reason = { "decode host record", std::string(key), exception.what() };
    }
    return std::nullopt;
}

} // namespace coriandergate::fleet
