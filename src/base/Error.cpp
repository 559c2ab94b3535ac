#include "base/Error.h"

namespace coriandergate {

auto Error::toText() const -> std::string
{
    std::string text = step;
    if (!peer.empty())
        text += " (" + peer + ")";
    return text + ": " + reason;
}

} // namespace coriandergate
