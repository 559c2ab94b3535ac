#include "relay/EntryContext.h"

#include "relay/EntryRequest.h"

#include <utility>

namespace coriandergate::relay {

auto EntryContext::markReady() -> void
{
    isReady = true;
    for (const auto& waiting : std::exchange(pendingRequests, {})) {
        if (const auto request = waiting.lock())
            request->begin();
    }
}

} // namespace coriandergate::relay
