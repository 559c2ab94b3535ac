// One fault of a declaration, with its place.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace coriandergate::config {

// DeclarationFault names the place (line and column from 1), the field, what is wrong and what is allowed.
struct DeclarationFault {
    std::size_t line = 1;
    std::size_t column = 1;
    std::string field; // for example "routes[3].deadline"
    std::string problem;
    std::string allowed; // empty when the problem says it all

    // toText() is "file:line:column: field: problem (allowed: ...)".
    [[nodiscard]] auto toText(std::string_view file) const -> std::string;

    friend auto operator==(const DeclarationFault&, const DeclarationFault&) -> bool = default;
};

} // namespace coriandergate::config
