// Checks of headers that both parsers make.
#pragma once

#include "http/HeaderList.h"

#include <string_view>

namespace coriandergate::http::internal {

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

} // namespace coriandergate::http::internal
