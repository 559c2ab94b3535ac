#include "relay/EntryContext.h"

#include "relay/EntryRequest.h"

#include <utility>

namespace coriandergate::relay {

EntryContext::~EntryContext()
{
    for (const auto& pending : std::exchange(pendingRequests, {})) {
        if (const auto request = pending.lock())
            request->cancel();
    }
    const auto requests = *openRequests;
    for (const auto& [raw, weak] : requests) {
        if (const auto request = weak.lock())
            request->cancel();
    }
}

auto EntryContext::markReady() -> void
{
    isReady = true;
    for (const auto& pending : std::exchange(pendingRequests, {})) {
        if (const auto request = pending.lock())
            request->begin();
    }
}

auto EntryContext::nextSplitPosition(const std::string& route) -> std::uint64_t
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15ULL; // times 2^64
    return splitPositions.try_emplace(route, random()).first->second += goldenRatio;
}

} // namespace coriandergate::relay
