// What an intent will change, worked out against one version and not yet in force.
//
//   const auto plan = planChange(base, intended, targets);
//   for (const auto& warning : plan.warnings)
//       print(warning.text);
#pragma once

#include "config/ConfigurationHead.h"
#include "control/EntryChange.h"
#include "control/PlanWarning.h"

#include <string>
#include <vector>

namespace coriandergate::config {
struct Configuration;
struct Declaration;
}

namespace coriandergate::control {

struct KnownTargets;

// Plan is a value; its text form is in PlanCodec.h.
struct Plan {
    config::ConfigurationHead base;
    config::ConfigurationHead target;
    std::vector<EntryChange> changes;
    std::vector<std::string> clientAccounts; // accounts whose requests the changes touch; "*": every account
    std::vector<std::string> services; // services whose targets the changes touch
    std::vector<PlanWarning> warnings;

    friend auto operator==(const Plan&, const Plan&) -> bool = default;
};

// intendedConfiguration() is what `declaration` asks for on top of `base`: the next version, where accounts without a
// list of keys keep theirs. Safe from any thread.
[[nodiscard]] auto intendedConfiguration(const config::Configuration& base, const config::Declaration& declaration)
    -> config::Configuration;

// planChange() compares `base` with `intended`. Without a change, `changes` is empty. Safe from any thread.
[[nodiscard]] auto planChange(
    const config::Configuration& base, const config::Configuration& intended, const KnownTargets& targets) -> Plan;

} // namespace coriandergate::control
