#include "config/EntryCodec.h"

#include "config/ClientAccount.h"
#include "config/ConfigurationHead.h"
#include "config/Route.h"
#include "config/Service.h"

#include <nlohmann/json.hpp>

namespace coriandergate::config {

namespace {

    // put() writes the field unless it has its default value.
    template <typename Value>
    auto put(nlohmann::json& object, const char* name, const Value& field, const Value& byDefault) -> void
    {
        if (field != byDefault)
            object[name] = field;
    }

} // namespace

// NOLINTBEGIN(readability-identifier-naming)

auto to_json(nlohmann::json& value, const ConfigurationHead& head) -> void
{
    value = { { "version", head.version }, { "digest", head.digest } };
}

auto from_json(const nlohmann::json& value, ConfigurationHead& head) -> void
{
    head.version = value.at("version").get<std::uint64_t>();
    head.digest = value.at("digest").get<std::string>();
}

auto to_json(nlohmann::json& value, const Route& route) -> void
{
    const Route byDefault;
    value = { { "name", route.name }, { "pathPrefix", route.pathPrefix }, { "service", route.service } };
    put(value, "host", route.host, byDefault.host);
    put(value, "isOpen", route.isOpen, byDefault.isOpen);
    put(value, "clientAccounts", route.clientAccounts, byDefault.clientAccounts);
    put(value, "isIdempotent", route.repeatPolicy == RepeatPolicy::Idempotent, false);
    put(value, "deadlineMs", route.deadline.count(), byDefault.deadline.count());
    put(value, "maximumRequestBytes", route.maximumRequestBytes, byDefault.maximumRequestBytes);
    put(value, "maximumAnswerBytes", route.maximumAnswerBytes, byDefault.maximumAnswerBytes);
}

auto to_json(nlohmann::json& value, const ClientAccount& account) -> void
{
    value = { { "name", account.name }, { "ratePerSecond", account.ratePerSecond }, { "burst", account.burst } };
    put(value, "keyDigests", account.keyDigests, {});
}

auto to_json(nlohmann::json& value, const Service& service) -> void
{
    value = { { "name", service.name }, { "healthyFloor", service.healthyFloor } };
    put(value, "preferredDataCentres", service.preferredDataCentres, {});
    for (const auto& placement : service.placements)
        value["placements"].push_back(
            { { "callerDataCentre", placement.callerDataCentre }, { "dataCentres", placement.dataCentres } });
}

auto from_json(const nlohmann::json& value, Route& route) -> void
{
    route.name = value.at("name").get<std::string>();
    route.pathPrefix = value.at("pathPrefix").get<std::string>();
    route.service = value.at("service").get<std::string>();
    route.host = value.value("host", route.host);
    route.isOpen = value.value("isOpen", route.isOpen);
    route.clientAccounts = value.value("clientAccounts", route.clientAccounts);
    route.repeatPolicy = value.value("isIdempotent", false) ? RepeatPolicy::Idempotent : RepeatPolicy::OnceOnly;
    route.deadline = std::chrono::milliseconds(value.value("deadlineMs", route.deadline.count()));
    route.maximumRequestBytes = value.value("maximumRequestBytes", route.maximumRequestBytes);
    route.maximumAnswerBytes = value.value("maximumAnswerBytes", route.maximumAnswerBytes);
}

auto from_json(const nlohmann::json& value, ClientAccount& account) -> void
{
    account.name = value.at("name").get<std::string>();
    account.ratePerSecond = value.at("ratePerSecond").get<double>();
    account.burst = value.at("burst").get<double>();
    account.keyDigests = value.value("keyDigests", account.keyDigests);
}

auto from_json(const nlohmann::json& value, Service& service) -> void
{
    service.name = value.at("name").get<std::string>();
    service.healthyFloor = value.at("healthyFloor").get<double>();
    service.preferredDataCentres = value.value("preferredDataCentres", service.preferredDataCentres);
    for (const auto& placement : value.value("placements", nlohmann::json::array()))
        service.placements.push_back({ placement.at("callerDataCentre").get<std::string>(),
            placement.at("dataCentres").get<std::vector<std::string>>() });
}

// NOLINTEND(readability-identifier-naming)

} // namespace coriandergate::config
