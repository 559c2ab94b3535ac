#include "http/Serialize.h"

#include "http/Answer.h"
#include "http/Request.h"

#include <ostream> // for the next one, which lacks it

#include <boost/beast/http/status.hpp>

namespace coriandergate::http {

namespace {

    // A field may be longer than the 64 KiB that Boost.Beast's messages hold.
    auto toBytes(const std::string& startLine, const HeaderList& headers, std::string_view body) -> std::string
    {
        constexpr std::string_view separator = ": ";
        constexpr std::string_view lineEnd = "\r\n";
        auto size = startLine.size() + 2 * lineEnd.size() + body.size();
        for (const auto& header : headers)
            size += header.name.size() + separator.size() + header.value.size() + lineEnd.size();
        std::string bytes;
        bytes.reserve(size);
        bytes.append(startLine).append(lineEnd);
        for (const auto& header : headers)
            bytes.append(header.name).append(separator).append(header.value).append(lineEnd);
        return bytes.append(lineEnd).append(body);
    }

    auto reasonOf(const Answer& answer) -> std::string
    {
        if (!answer.reason.empty())
            return answer.reason;
        const auto status = boost::beast::http::int_to_status(static_cast<unsigned>(answer.status));
        return std::string(boost::beast::http::obsolete_reason(status));
    }

    // A length header that is right already stays in its place.
    auto setContentLength(HeaderList& headers, std::size_t bytes) -> void
    {
        const auto length = std::to_string(bytes);
        if (headers.count("Content-Length") != 1 || headers.find("Content-Length") != length)
            headers.replace("Content-Length", length);
    }

    auto mayHaveBody(int status) -> bool
    {
        constexpr int noContent = 204;
        constexpr int notModified = 304;
        return status >= 200 && status != noContent && status != notModified;
    }

} // namespace

auto serializeRequest(const Request& request) -> std::string
{
    HeaderList headers = request.headers;
    headers.removeAll("Transfer-Encoding");
    // HTTP/1.1 needs one, which a request that came with HTTP/1.0 may lack; it is empty where there is no name.
    if (!headers.find("Host"))
        headers.add("Host", "");
    if (headers.find("Content-Length") || !request.body.empty())
        setContentLength(headers, request.body.size());
    return toBytes(request.method + ' ' + request.target + " HTTP/1.1", headers, request.body);
}

auto serializeAnswer(const Answer& answer, bool isHead) -> std::string
{
    HeaderList headers = answer.headers;
    headers.removeAll("Transfer-Encoding");
    headers.removeAll("Connection");
    if (!isHead) {
        if (mayHaveBody(answer.status))
            setContentLength(headers, answer.body.size());
    } else if (!answer.body.empty() && !headers.find("Content-Length")) {
        headers.add("Content-Length", std::to_string(answer.body.size()));
    }
    if (!answer.isKeepAlive)
        headers.add("Connection", "close");
    return toBytes("HTTP/1.1 " + std::to_string(answer.status) + ' ' + reasonOf(answer), headers,
        isHead ? std::string_view() : answer.body);
}

} // namespace coriandergate::http
