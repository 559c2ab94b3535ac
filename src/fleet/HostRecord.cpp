#include "fleet/HostRecord.h"

#include "base/BoundedJson.h"
#include "base/Error.h"
#include "base/Hash.h"
#include "net/Endpoint.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace coriandergate::fleet {

using nlohmann::json;

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
        case HostRecord::State::Departed:
            return "departed";
        }
        return "empty";
    }

    // Fields in the order in which they are encoded.
    constexpr std::array fieldNames { "peer", "region", "dataCentre", "service", "target", "startedAt", "slots",
        "state", "joinedAt", "departedAt" };
    // Milliseconds. Later code adds to such times, so they must be far from an overflow.
    constexpr std::uint64_t maximumStoreTime = std::uint64_t { 1 } << 53;

    auto parseState(const std::string& name) -> std::optional<HostRecord::State>
    {
        for (const auto state : { HostRecord::State::NoTarget, HostRecord::State::Serving, HostRecord::State::Draining,
                 HostRecord::State::Departed }) {
            if (name == stateName(state))
                return state;
        }
        return std::nullopt;
    }

    auto readNumber(const json& value, std::uint64_t maximum, const char* name) -> std::uint64_t
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum)
            throw std::out_of_range(std::string(name) + " must be a whole number from 0 to " + std::to_string(maximum));
        return value.get<std::uint64_t>();
    }

    // readFields() reads a record whose fields `field(value, index)` returns.
    template <typename Field>
    auto readFields(const json& value, const Field& field, Error& reason) -> std::optional<HostRecord>
    {
        try {
            HostRecord record;
            field(value, 0).get_to(record.peerAddress);
            field(value, 1).get_to(record.locality.region);
            field(value, 2).get_to(record.locality.dataCentre);
            field(value, 3).get_to(record.service);
            field(value, 4).get_to(record.targetId);
            record.targetStartedAt
                = readNumber(field(value, 5), std::numeric_limits<std::uint64_t>::max(), "the start time");
            record.slots = readNumber(field(value, 6), maximumSlots, "the number of slots");
            const auto state = parseState(field(value, 7).template get<std::string>());
            record.joinedAt = std::chrono::milliseconds(readNumber(field(value, 8), maximumStoreTime, "the join time"));
            if (!state) {
                reason.reason = "unknown state";
                return std::nullopt;
            }
            record.state = *state;
            if (record.state == HostRecord::State::Departed)
                record.departedAt
                    = std::chrono::milliseconds(readNumber(field(value, 9), maximumStoreTime, "the time of departure"));
            if (!net::parseEndpoint(record.peerAddress, reason))
                return std::nullopt;
            return record;
        } catch (const std::exception& exception) { // a missing field, a field of another type, a number out of range
            reason.reason = exception.what();
            return std::nullopt;
        }
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

auto makeDeparted(HostRecord record, std::chrono::milliseconds time) -> HostRecord
{
    record.state = HostRecord::State::Departed;
    record.departedAt = time;
    return record;
}

auto encodeHostRecord(const HostRecord& record) -> std::string
{
    auto value = json::array({ record.peerAddress, record.locality.region, record.locality.dataCentre, record.service,
        record.targetId, record.targetStartedAt, record.slots, stateName(record.state), record.joinedAt.count() });
    if (record.state == HostRecord::State::Departed)
        value.push_back(record.departedAt.count());
    const auto bytes = json::to_cbor(value);
    return { bytes.begin(), bytes.end() };
}

auto decodeHostRecord(std::string_view key, std::string_view bytes, Error& reason) -> std::optional<HostRecord>
{
    // Daemons of version 0.1.0 wrote an object as JSON text.
    const bool isJson = bytes.starts_with('{');
    const auto value = isJson ? parseBoundedJson(bytes, reason) : parseBoundedCbor(bytes, reason);
    if (value) {
        auto record = isJson
            ? readFields(
                *value,
                [](const json& object, std::size_t field) -> const json& { return object.at(fieldNames.at(field)); },
                reason)
            : readFields(
                *value, [](const json& array, std::size_t field) -> const json& { return array.at(field); }, reason);
        if (record)
            return record;
    }
    reason = { "decode host record", std::string(key), reason.reason };
    return std::nullopt;
}

} // namespace coriandergate::fleet
