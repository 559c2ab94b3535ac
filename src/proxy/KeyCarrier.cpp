#include "proxy/KeyCarrier.h"

#include "http/Request.h"
#include "proxy/ProxyHeaders.h"

#include <QByteArray>
#include <set>
#include <string_view>
#include <vector>

namespace coriandergate::proxy {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";

    auto percentDecoded(std::string_view text) -> std::string
    {
        const QByteArray bytes(text.data(), static_cast<qsizetype>(text.size()));
        return QByteArray::fromPercentEncoding(bytes).toStdString();
    }

    auto hasBearer(std::string_view value) -> bool
    {
        return value.size() > bearerPrefix.size()
            && http::isSameName(value.substr(0, bearerPrefix.size()), bearerPrefix);
    }

    struct QueryParameter {
        std::string text; // as it came
        std::string name; // decoded
        std::string value; // decoded
    };

    auto parseQuery(std::string_view query) -> std::vector<QueryParameter>
    {
        std::vector<QueryParameter> parameters;
        while (!query.empty()) {
            const auto end = query.find('&');
            const auto part = query.substr(0, end);
            const auto equals = part.find('=');
            const auto value = equals == std::string_view::npos ? std::string_view {} : part.substr(equals + 1);
            parameters.push_back({ std::string(part), percentDecoded(part.substr(0, equals)), percentDecoded(value) });
            query = end == std::string_view::npos ? std::string_view {} : query.substr(end + 1);
        }
        return parameters;
    }

    auto collectHeaderKeys(http::HeaderList& headerList, std::set<std::string>& keys) -> void
    {
        for (const auto& header : headerList) {
            if (http::isSameName(header.name, headers::apiKey))
                keys.insert(header.value);
            if (http::isSameName(header.name, "Authorization") && hasBearer(header.value))
                keys.insert(header.value.substr(bearerPrefix.size()));
        }
        headerList.removeAll(headers::apiKey);
        if (hasBearer(headerList.find("Authorization").value_or("")))
            headerList.removeAll("Authorization");
    }

    auto removeHeadersWith(http::HeaderList& headerList, const std::string& key) -> void
    {
        std::vector<std::string> names;
        for (const auto& header : headerList) {
            if (header.value.find(key) != std::string::npos
                || percentDecoded(header.value).find(key) != std::string::npos)
                names.push_back(header.name);
        }
        for (const auto& name : names)
            headerList.removeAll(name);
    }

    auto withoutKey(const std::string& target, std::set<std::string>& keys) -> std::string
    {
        const auto question = target.find('?');
        if (question == std::string::npos)
            return target;
        const auto parameters = parseQuery(std::string_view(target).substr(question + 1));
        for (const auto& parameter : parameters) {
            if (parameter.name == headers::apiKeyParameter)
                keys.insert(parameter.value);
        }
        std::string query;
        for (const auto& parameter : parameters) {
            const bool isCarrier = parameter.name == headers::apiKeyParameter;
            if (isCarrier || (!parameter.value.empty() && keys.contains(parameter.value)))
                continue;
            query += query.empty() ? "?" : "&";
            query += parameter.text;
        }
        return target.substr(0, question) + query;
    }

} // namespace

auto takeKey(http::Request& request, Error& reason) -> std::optional<std::string>
{
    std::set<std::string> keys;
    collectHeaderKeys(request.headers, keys);
    request.target = withoutKey(request.target, keys);
    keys.erase("");
    for (const auto& key : keys)
        removeHeadersWith(request.headers, key);
    if (keys.size() > 1) {
        reason = { "read key", "", "the request carries different keys" };
        return std::nullopt;
    }
    if (keys.empty())
        return std::nullopt;
    return *keys.begin();
}

} // namespace coriandergate::proxy
