#include "fleet/HostRecord.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

namespace coriandergate::fleet {

namespace {

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
