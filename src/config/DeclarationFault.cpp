#include "config/DeclarationFault.h"

namespace coriandergate::config {

auto DeclarationFault::toText(std::string_view file) const -> std::string
{
    auto text = std::string(file) + ":" + std::to_string(line) + ":" + std::to_string(column) + ": ";
    if (!field.empty())
        text += field + ": ";
    text += problem;
    if (!allowed.empty())
        text += " (allowed: " + allowed + ")";
    return text;
}

} // namespace coriandergate::config
