// Boost.Beast's parser of HTTP/1, which keeps one message in this project's types and bounds all parts of it.
//
// Beast's own message throws for a header field of 64 KiB, keeps the fields of a trailer, and bounds a header block
// only as far as it is given at once. Here a field may be as long as the header block, a trailer is checked and
// dropped, and the bounds are the same however the bytes are cut into parts.
//
//   MessageParser<false> parser({ .maximumHeaderBytes = 1024, .maximumBodyBytes = 1024 });
//   boost::beast::error_code error;
//   const auto used = parser.feed(bytes, error, [&parser] { return parser.status() == 200; });
#pragma once

#include "http/HeaderList.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace coriandergate::http::internal {

// MessageLimits bounds a message in bytes. The header limit holds for the start line, for the other lines of the header
// block together, for the line before a chunk, and for a trailer with the line before it. At most 4 GiB - 1.
struct MessageLimits {
    std::size_t maximumHeaderBytes = 0;
    std::size_t maximumBodyBytes = 0;
};

// MessageParser is not thread-safe. Nothing may be fed to it after an error.
template <bool isRequest> class MessageParser final : public boost::beast::http::basic_parser<isRequest> {
public:
    using ErrorCode = boost::beast::error_code;

    explicit MessageParser(const MessageLimits& limits)
        : m_maximumHeaderBytes(
            std::min<std::size_t>(limits.maximumHeaderBytes, std::numeric_limits<std::uint32_t>::max()))
    {
        // feed() checks the limit of the header block.
        this->header_limit(std::numeric_limits<std::uint32_t>::max());
        this->body_limit(limits.maximumBodyBytes);
    }

    // feed() reads from `bytes` until the message is complete, more is needed, or `error` is set, and returns how many
    // it used. Those that it left must be given again with what follows. An exceeded header limit is Beast's
    // header_limit, also for chunks and trailers. `onHeaders` is called once, when the header block is complete and no
    // byte of the body has been read; it returns false to stop there.
    template <typename OnHeaders>
    auto feed(std::string_view bytes, ErrorCode& error, const OnHeaders& onHeaders) -> std::size_t;

    // headerLimitText() says which part of the message exceeded the header limit.
    [[nodiscard]] auto headerLimitText() const -> std::string
    {
        const std::string part = this->is_header_done() ? "a trailer or the line before a chunk is" : "the headers are";
        return part + " larger than " + std::to_string(m_maximumHeaderBytes) + " bytes";
    }

    [[nodiscard]] auto method() const -> const std::string& { return m_method; }
    [[nodiscard]] auto target() const -> const std::string& { return m_target; }
    [[nodiscard]] auto reason() const -> const std::string& { return m_reason; }
    [[nodiscard]] auto status() const -> int { return m_status; }
    // version() is 10 for HTTP/1.0 and 11 for HTTP/1.1.
    [[nodiscard]] auto version() const -> int { return m_version; }
    // isKeepAlive() is known once the header block is complete; fields of a trailer don't count.
    [[nodiscard]] auto isKeepAlive() const -> bool { return m_isKeepAlive; }
    // headBytes() is how much of the header block has been used.
    [[nodiscard]] auto headBytes() const -> std::size_t { return m_headBytes; }
    [[nodiscard]] auto headers() const -> const HeaderList& { return m_headers; }
    [[nodiscard]] auto body() const -> const std::string& { return m_body; }
    // isBodyReserved() tells whether the body has room for all of its bytes.
    [[nodiscard]] auto isBodyReserved() const -> bool { return m_isBodyReserved; }

    [[nodiscard]] auto takeHeaders() -> HeaderList { return std::move(m_headers); }
    [[nodiscard]] auto takeBody() -> std::string { return std::move(m_body); }

private:
    using StringView = boost::beast::string_view;

    // Beast asserts that it is given as many bytes when it returns to an unfinished last chunk ("0\r\n\r\n" has as
    // many). A chunked body never ends with fewer bytes left, so that waiting for more holds nothing up.
    static constexpr std::size_t s_lastChunkBytes = 5;
    // Version, blanks and line end of "POST /a HTTP/1.1\r\n", version, status, blanks and line end of
    // "HTTP/1.1 200 OK\r\n".
    static constexpr std::size_t s_startLineOverhead = isRequest ? 12 : 15;
    // A body whose declared length is larger grows as it comes, because many are refused before they are complete.
    static constexpr std::size_t s_maximumReservedBytes = 64 * 1024 * 1024;

    [[nodiscard]] static auto toView(StringView text) -> std::string_view { return { text.data(), text.size() }; }

    [[nodiscard]] auto putOnce(std::string_view bytes, ErrorCode& error) -> std::size_t
    {
        m_hasReadChunkData = false;
        const bool isFraming = this->is_header_done() && this->chunked();
        const auto used = this->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        if (!error && isFraming && !m_hasReadChunkData && used > m_maximumHeaderBytes)
            error = boost::beast::http::error::header_limit;
        return used;
    }

    // Tells whether the lines of the header block that have been used, and the unread part of the next one, are within
    // the limit. Beast may leave a complete start line unread.
    [[nodiscard]] auto isHeadWithinLimit(std::string_view unread) const -> bool
    {
        if (m_startLineBytes > 0)
            return m_headBytes + unread.size() <= m_startLineBytes + m_maximumHeaderBytes;
        if (unread.size() <= m_maximumHeaderBytes)
            return true;
        const auto lineEnd = unread.find('\n');
        return lineEnd < m_maximumHeaderBytes && unread.size() - (lineEnd + 1) <= m_maximumHeaderBytes;
    }

    auto on_request_impl(boost::beast::http::verb, StringView method, StringView target, int version, ErrorCode& error)
        -> void override
    {
        m_method = toView(method);
        m_target = toView(target);
        takeStartLine(method.size() + target.size(), version, error);
    }

    auto on_response_impl(int status, StringView reason, int version, ErrorCode& error) -> void override
    {
        m_status = status;
        m_reason = toView(reason);
        takeStartLine(reason.size(), version, error);
    }

    auto takeStartLine(std::size_t variableBytes, int version, ErrorCode& error) -> void
    {
        m_version = version;
        m_startLineBytes = variableBytes + s_startLineOverhead;
        if (m_startLineBytes > m_maximumHeaderBytes)
            error = boost::beast::http::error::header_limit;
    }

    auto on_field_impl(boost::beast::http::field, StringView name, StringView value, ErrorCode& error) -> void override
    {
        if (this->is_header_done())
            return;
        // Ends a header block that arrives at once before all of it is kept. The line is at least as long as this.
        constexpr std::size_t separatorBytes = 3;
        m_fieldBytes += name.size() + separatorBytes + value.size();
        if (m_fieldBytes > m_maximumHeaderBytes)
            error = boost::beast::http::error::header_limit;
        else
            m_headers.add(toView(name), toView(boost::beast::http::detail::trim(value)));
    }

    auto on_header_impl(ErrorCode&) -> void override { }

    auto on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode&) -> void override
    {
        m_isBodyReserved = length && *length <= s_maximumReservedBytes;
        if (m_isBodyReserved)
            m_body.reserve(static_cast<std::size_t>(*length));
    }

    auto on_body_impl(StringView bytes, ErrorCode&) -> std::size_t override
    {
        m_body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    auto on_chunk_header_impl(std::uint64_t, StringView, ErrorCode&) -> void override { }

    auto on_chunk_body_impl(std::uint64_t, StringView bytes, ErrorCode&) -> std::size_t override
    {
        m_hasReadChunkData = true;
        m_body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    auto on_finish_impl(ErrorCode&) -> void override { }

    std::size_t m_maximumHeaderBytes;
    std::string m_method;
    std::string m_target;
    std::string m_reason;
    int m_status = 0;
    int m_version = 0;
    HeaderList m_headers;
    std::string m_body;
    std::size_t m_startLineBytes = 0; // 0 until it has been used
    std::size_t m_headBytes = 0;
    std::size_t m_fieldBytes = 0; // of the fields of the header block
    bool m_isKeepAlive = false;
    bool m_isBodyReserved = false;
    bool m_hasReadChunkData = false; // in the present step, which has read either data or framing
};

template <bool isRequest>
template <typename OnHeaders>
auto MessageParser<isRequest>::feed(std::string_view bytes, ErrorCode& error, const OnHeaders& onHeaders) -> std::size_t
{
    std::size_t used = 0;
    while (used < bytes.size() && !this->is_done()) {
        const bool hadHeaders = this->is_header_done();
        const auto rest = bytes.substr(used);
        if (hadHeaders && this->chunked() && rest.front() == '0' && rest.size() < s_lastChunkBytes)
            break;
        const auto count = putOnce(rest, error);
        used += count;
        if (!hadHeaders)
            m_headBytes += count;
        if (error == boost::beast::http::error::need_more) {
            error = {};
            break;
        }
        if (error)
            return used;
        if (!hadHeaders && this->is_header_done()) {
            m_isKeepAlive = this->keep_alive();
            if (!isHeadWithinLimit({}))
                error = boost::beast::http::error::header_limit;
            if (error || !onHeaders())
                return used;
        }
    }
    const auto unread = bytes.substr(used);
    const bool isWithinLimit = this->is_done()
        || (this->is_header_done() ? unread.size() <= m_maximumHeaderBytes : isHeadWithinLimit(unread));
    if (!isWithinLimit)
        error = boost::beast::http::error::header_limit;
    return used;
}

} // namespace coriandergate::http::internal
