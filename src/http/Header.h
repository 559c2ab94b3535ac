// One header line of an HTTP message.
#pragma once

#include <string>

namespace coriandergate::http {

struct Header {
    std::string name;
    std::string value;

    friend auto operator==(const Header&, const Header&) -> bool = default;
};

} // namespace coriandergate::http
