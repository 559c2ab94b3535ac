#include "http/CborMessage.h"

#include "base/BoundedJson.h"
#include "base/Error.h"
#include "http/Request.h"
#include "http/Serialize.h"

namespace coriandergate::http {

using nlohmann::json;

auto cborBytes(const json& value) -> std::string
{
    const auto bytes = json::to_cbor(value);
    return { bytes.begin(), bytes.end() };
}

auto makeCborRequest(std::string_view path, const json& value) -> std::string
{
    Request request;
    request.method = "POST";
    request.target = path;
    request.headers.add("Host", "peer");
    request.body = cborBytes(value);
    return serializeRequest(request);
}

auto readTime(const json& value) -> std::chrono::milliseconds
{
    const std::chrono::milliseconds time { readInteger<std::chrono::milliseconds::rep>(value) };
    if (time < -maximumMessageTime || time > maximumMessageTime)
        throw std::out_of_range("must be a time within twenty years");
    return time;
}

auto readCbor(const std::string& body, const char* step, Error& reason, const std::function<void(const json&)>& read)
    -> bool
{
    const auto value = parseBoundedCbor(body, reason);
    if (!value) {
        reason.step = step;
        return false;
    }
    try {
        read(*value);
        return true;
    } catch (const std::exception& exception) {
        reason = { step, "", exception.what() };
        return false;
    }
}

} // namespace coriandergate::http
