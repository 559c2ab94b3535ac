#include "proxy/ForwardCodec.h"

#include "proxy/ProxyHeaders.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace coriandergate::proxy {

using nlohmann::json;
using std::chrono::microseconds;

namespace {

    auto microsecondsLeft(MonotonicTime until, MonotonicTime now) -> std::int64_t
    {
        return std::chrono::duration_cast<microseconds>(until - now).count();
    }

    auto toMicroseconds(MonotonicDuration duration) -> std::int64_t
    {
        return std::chrono::duration_cast<microseconds>(duration).count();
    }

    auto readForward(const json& document, MonotonicTime now) -> OwnerRequest
    {
        OwnerRequest request;
        request.id = document.at("id").get<std::string>();
        request.service = document.at("service").get<std::string>();
        request.target = document.at("target").get<std::string>();
        request.clientAccount = document.at("account").get<std::string>();
        request.keyDigest = document.at("keyDigest").get<std::string>();
        request.isOnceOnly = document.at("onceOnly").get<bool>();
        request.onceLabel = document.at("onceLabel").get<std::string>();
        request.deadline = now + microseconds(document.at("deadlineUs").get<std::int64_t>());
        if (document.contains("useByUs"))
            request.useBy = now + microseconds(document.at("useByUs").get<std::int64_t>());
        request.maximumAnswerBytes = document.at("maximumAnswerBytes").get<std::size_t>();
        return request;
    }

} // namespace

auto encodeForward(const OwnerRequest& request, MonotonicTime now) -> std::string
{
    json document { { "id", request.id }, { "service", request.service }, { "target", request.target },
        { "account", request.clientAccount }, { "keyDigest", request.keyDigest }, { "onceOnly", request.isOnceOnly },
        { "onceLabel", request.onceLabel }, { "deadlineUs", microsecondsLeft(request.deadline, now) },
        { "maximumAnswerBytes", request.maximumAnswerBytes } };
    if (request.useBy)
        document["useByUs"] = microsecondsLeft(*request.useBy, now);
    return document.dump(-1, ' ', true, json::error_handler_t::replace);
}

auto decodeForward(http::Request request, MonotonicTime now, Error& reason) -> std::optional<OwnerRequest>
{
    reason = { "read forwarded request", "", "no readable Coriandergate-Forward header" };
    const auto text = request.headers.find(headers::forward);
    if (!text)
        return std::nullopt;
    try {
        auto decoded = readForward(json::parse(*text), now);
        removeInternalHeaders(request.headers);
        decoded.request = std::move(request);
        return decoded;
    } catch (const json::exception& exception) {
        reason.reason = exception.what();
        return std::nullopt;
    }
}

auto encodeReport(const OwnerReport& report) -> std::string
{
    return json {
        { "serviceUs", toMicroseconds(report.serviceTime) }, { "queueUs", toMicroseconds(report.queueTime) },
        { "waiting", report.waiting }, { "busy", report.busySlots }, { "slots", report.slots },
        { "crashed", report.hasTargetCrashed }
    }.dump();
}

auto decodeReport(std::string_view text) -> std::optional<OwnerReport>
{
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    OwnerReport report;
    report.serviceTime = microseconds(document.value("serviceUs", std::int64_t { 0 }));
    report.queueTime = microseconds(document.value("queueUs", std::int64_t { 0 }));
    report.waiting = document.value("waiting", 0U);
    report.busySlots = document.value("busy", 0U);
    report.slots = document.value("slots", 0U);
    report.hasTargetCrashed = document.value("crashed", false);
    return report;
}

auto removeInternalHeaders(http::HeaderList& headerList) -> void
{
    std::vector<std::string> names;
    for (const auto& header : headerList) {
        const auto prefix = std::string_view(header.name).substr(0, headers::internalPrefix.size());
        if (http::isSameName(prefix, headers::internalPrefix))
            names.push_back(header.name);
    }
    for (const auto& name : names)
        headerList.removeAll(name);
}

} // namespace coriandergate::proxy
