// What the two parsers share of Boost.Beast.
#pragma once

#include "http/HeaderList.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <string_view>

namespace coriandergate::http::internal {

// toView() turns Beast's string view into the standard one.
[[nodiscard]] inline auto toView(boost::beast::string_view text) -> std::string_view
{
    return { text.data(), text.size() };
}

// copyHeaders() copies the fields of a parsed message.
template <typename Fields> [[nodiscard]] auto copyHeaders(const Fields& fields) -> HeaderList
{
    HeaderList headers;
    for (const auto& field : fields)
        headers.add(toView(field.name_string()), toView(field.value()));
    return headers;
}

// hasPlainLength() says that the Content-Length header, if there is one, stands once and is digits only. RFC 9112 also
// allows the same number repeated in a list, which another reader may take differently.
[[nodiscard]] inline auto hasPlainLength(const HeaderList& headers) -> bool
{
    const auto length = headers.find("Content-Length");
    if (!length)
        return true;
    return headers.count("Content-Length") == 1 && !length->empty()
        && length->find_first_not_of("0123456789") == std::string_view::npos;
}

// Size of "0\r\n\r\n". Beast asserts that it is given as many bytes when it returns to an unfinished last chunk. A
// chunked body never ends with fewer bytes left, so that waiting for more holds nothing up.
inline constexpr std::size_t lastChunkBytes = 5;

// feedParser() gives `bytes` to a Beast parser until it needs more, is done or fails. After the header block is parsed,
// `onHeaders` is called once with the number of bytes used so far, before any body byte is read; it returns false to
// stop there.
template <typename Parser, typename OnHeaders>
auto feedParser(Parser& parser, std::string_view bytes, boost::beast::error_code& error, const OnHeaders& onHeaders)
    -> std::size_t
{
    std::size_t used = 0;
    while (used < bytes.size() && !parser.is_done()) {
        const bool hadHeaders = parser.is_header_done();
        const auto rest = bytes.substr(used);
        if (hadHeaders && parser.chunked() && rest.front() == '0' && rest.size() < lastChunkBytes)
            break;
        used += parser.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        if (error == boost::beast::http::error::need_more) {
            error = {};
            break;
        }
        if (error)
            break;
        if (!hadHeaders && parser.is_header_done() && !onHeaders(used))
            break;
    }
    return used;
}

} // namespace coriandergate::http::internal
