#include "http/Serialize.h"

#include "http/Answer.h"
#include "http/Request.h"
#include "http/internal/BeastBuffer.h"

namespace coriandergate::http {

namespace beast = boost::beast::http;

namespace {

    auto toBeast(std::string_view text) -> boost::beast::string_view { return { text.data(), text.size() }; }

    template <typename Message> auto insertHeaders(Message& message, const HeaderList& headers) -> void
    {
        for (const auto& header : headers)
            message.insert(toBeast(header.name), toBeast(header.value));
    }

    template <typename Message> auto toBytes(Message& message) -> std::string
    {
        std::string bytes;
        beast::serializer<Message::is_request::value, typename Message::body_type> serializer(message);
        boost::beast::error_code error;
        while (!serializer.is_done() && !error) {
            serializer.next(error, [&](boost::beast::error_code&, const auto& buffers) -> void {
                std::size_t written = 0;
                for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                    bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
                    written += buffer.size();
                }
                serializer.consume(written);
            });
        }
        return bytes;
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
    beast::request<beast::string_body> message;
    message.version(11);
    message.method_string(toBeast(request.method));
    message.target(toBeast(request.target));
    HeaderList headers = request.headers;
    headers.removeAll("Transfer-Encoding");
    // HTTP/1.1 needs one, which a request that came with HTTP/1.0 may lack; it is empty where there is no name.
    if (!headers.find("Host"))
        headers.add("Host", "");
    if (headers.find("Content-Length") || !request.body.empty())
        setContentLength(headers, request.body.size());
    insertHeaders(message, headers);
    message.body() = request.body;
    return toBytes(message);
}

auto serializeAnswer(const Answer& answer, bool isHead) -> std::string
{
    beast::response<beast::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(answer.status));
    if (!answer.reason.empty())
        message.reason(toBeast(answer.reason));
    HeaderList headers = answer.headers;
    headers.removeAll("Transfer-Encoding");
    headers.removeAll("Connection");
    if (!isHead) {
        if (mayHaveBody(answer.status))
            setContentLength(headers, answer.body.size());
        message.body() = answer.body;
    } else if (!answer.body.empty() && !headers.find("Content-Length")) {
        headers.add("Content-Length", std::to_string(answer.body.size()));
    }
    if (!answer.isKeepAlive)
        headers.add("Connection", "close");
    insertHeaders(message, headers);
    return toBytes(message);
}

} // namespace coriandergate::http
