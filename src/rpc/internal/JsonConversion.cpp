#include "rpc/internal/JsonConversion.h"

namespace coriandergate::rpc::internal {

namespace {

    using Kind = nlohmann::json::value_t;

    auto toJsonCppObject(const nlohmann::json& value) -> Json::Value
    {
        Json::Value object(Json::objectValue);
        for (const auto& [name, member] : value.items())
            object[name] = toJsonCpp(member);
        return object;
    }

    auto toJsonCppArray(const nlohmann::json& value) -> Json::Value
    {
        Json::Value array(Json::arrayValue);
        for (const auto& element : value)
            array.append(toJsonCpp(element));
        return array;
    }

    auto fromJsonCppObject(const Json::Value& value) -> nlohmann::json
    {
        auto object = nlohmann::json::object();
        for (auto member = value.begin(); member != value.end(); ++member)
            object[member.name()] = fromJsonCpp(*member);
        return object;
    }

    auto fromJsonCppArray(const Json::Value& value) -> nlohmann::json
    {
        auto array = nlohmann::json::array();
        for (const auto& element : value)
            array.push_back(fromJsonCpp(element));
        return array;
    }

}

auto toJsonCpp(const nlohmann::json& value) -> Json::Value
{
    switch (value.type()) {
    case Kind::object:
        return toJsonCppObject(value);
    case Kind::array:
        return toJsonCppArray(value);
    case Kind::string:
        return Json::Value(value.get_ref<const std::string&>());
    case Kind::boolean:
        return Json::Value(value.get<bool>());
    case Kind::number_unsigned:
        return Json::Value(Json::UInt64 { value.get<std::uint64_t>() });
    case Kind::number_integer:
        return Json::Value(Json::Int64 { value.get<std::int64_t>() });
    case Kind::number_float:
        return Json::Value(value.get<double>());
    default:
        return Json::Value(Json::nullValue);
    }
}

auto fromJsonCpp(const Json::Value& value) -> nlohmann::json
{
    switch (value.type()) {
    case Json::objectValue:
        return fromJsonCppObject(value);
    case Json::arrayValue:
        return fromJsonCppArray(value);
    case Json::stringValue:
        return value.asString();
    case Json::booleanValue:
        return value.asBool();
    case Json::uintValue:
        return std::uint64_t { value.asUInt64() };
    case Json::intValue:
        // The library reads every small number as signed; readers here ask whether a number is unsigned.
        if (value.asInt64() >= 0)
            return static_cast<std::uint64_t>(value.asInt64());
        return std::int64_t { value.asInt64() };
    case Json::realValue:
        return value.asDouble();
    default:
        return nullptr;
    }
}

} // namespace coriandergate::rpc::internal
