#include "relay/LocalPlacement.h"

#include "dispatch/HomeRegions.h"
#include "relay/EntryContext.h"
#include "relay/PeerMessages.h"

namespace coriandergate::relay {

auto LocalPlacement::isEvacuated() const -> bool
{
    return m_context.evacuations.isEvacuated(m_context.locality.dataCentre);
}

auto LocalPlacement::objection(const RunRequest& message) const -> std::string_view
{
    if (isEvacuated())
        return s_evacuatedReason;
    const auto& snapshot = m_context.snapshot;
    if (!snapshot || snapshot->configuration().version <= message.configurationVersion)
        return {};
    const auto* route = snapshot->match(message.request.headers.find("Host").value_or(""), message.request.target);
    const auto* account = message.clientAccount.empty() ? nullptr : snapshot->clientAccount(message.clientAccount);
    const auto isForeign = [this](const auto* declared) -> bool {
        return declared && !dispatch::HomeRegions(declared->homeRegions).allows(m_context.locality.region);
    };
    return isForeign(route) || isForeign(account) ? "not a home region of the request" : "";
}

} // namespace coriandergate::relay
