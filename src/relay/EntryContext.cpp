#include "relay/EntryContext.h"

#include "relay/EntryRequest.h"

#include <utility>

namespace coriandergate::relay {

auto EntryContext::markReady() -> void
{
    isReady = true;
    for (const auto& pending : std::exchange(pendingRequests, {})) {
        if (const auto request = pending.lock())
            request->begin();
    }
}

} // namespace coriandergate::relay
